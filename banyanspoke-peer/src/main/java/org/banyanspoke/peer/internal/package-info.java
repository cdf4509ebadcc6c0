/** Netty handlers of the peer transport. Everything runs on the transport's event loop. */
package org.banyanspoke.peer.internal;
