/** Slopes of the cost of an entry host over the size of the configuration, the load and the number of hosts. */
package org.banyanspoke.bench.capacity;
