/** Counters and histograms of one daemon. */
package org.banyanspoke.daemon.metrics;
