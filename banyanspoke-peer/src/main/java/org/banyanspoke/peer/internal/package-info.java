/** Netty handlers of the peer transport. All code runs on the transport's event loop unless stated otherwise. */
package org.banyanspoke.peer.internal;
