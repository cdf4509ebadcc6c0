/** Liveness of entry hosts and dissemination of updates by gossip. */
package org.banyanspoke.core.membership;
