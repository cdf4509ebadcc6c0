/** The control plane of one entry host: configuration, membership, forwarding and loans. */
package org.banyanspoke.daemon.control;
