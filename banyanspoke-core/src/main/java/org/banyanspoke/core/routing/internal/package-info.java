/** Implementations of the server pool. */
package org.banyanspoke.core.routing.internal;
