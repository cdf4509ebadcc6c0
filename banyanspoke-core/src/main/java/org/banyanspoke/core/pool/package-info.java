/** Scheduling of callers' jobs on backend servers that this process owns by fencing token; no I/O, clock injected. */
package org.banyanspoke.core.pool;
