/** Clients of the platform: the configuration log and the host list. */
package org.banyanspoke.daemon.platform;
