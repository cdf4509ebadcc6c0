/** Scheduling of callers' jobs on backend servers that this process owns by fencing token. Does no I/O. */
package org.banyanspoke.core.pool;
