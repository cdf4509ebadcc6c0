/** Counters and latency histograms of a daemon. */
package org.banyanspoke.daemon.metrics;
