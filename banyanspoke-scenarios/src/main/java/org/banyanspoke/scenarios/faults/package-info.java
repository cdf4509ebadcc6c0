/** Randomized fault injection, reproducible from a seed, into a cluster of separate processes under load. */
package org.banyanspoke.scenarios.faults;
