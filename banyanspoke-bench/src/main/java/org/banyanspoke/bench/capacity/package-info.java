/** Measurement of how entry host resource usage scales with configuration size, load and number of hosts. */
package org.banyanspoke.bench.capacity;
