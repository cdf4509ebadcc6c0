/** Liveness of entry hosts and gossip. */
package org.banyanspoke.core.membership;
