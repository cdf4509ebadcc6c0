/** The dispatch thread and the interface through which other threads use the jobs of this process. */
package org.banyanspoke.daemon.jobs;
