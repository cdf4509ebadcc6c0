/** Benchmarks of daemon processes under open-loop load. */
package org.banyanspoke.bench;
