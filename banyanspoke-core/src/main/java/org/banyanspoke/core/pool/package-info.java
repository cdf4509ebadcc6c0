/** Runs the tasks of callers' jobs on backend servers that this process owns by a fencing token. No network, no clock. */
package org.banyanspoke.core.pool;
