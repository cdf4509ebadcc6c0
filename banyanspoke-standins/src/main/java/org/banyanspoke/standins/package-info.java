/** Simulators of the platform services and backend servers, for tests and benchmarks on one machine. */
package org.banyanspoke.standins;
