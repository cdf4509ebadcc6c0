/** Components of the control plane. All code runs on the control thread unless stated otherwise. */
package org.banyanspoke.daemon.control.internal;
