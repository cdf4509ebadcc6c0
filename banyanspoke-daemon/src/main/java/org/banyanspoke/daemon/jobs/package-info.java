/** The dispatch thread and what other threads may ask of the jobs of this process. */
package org.banyanspoke.daemon.jobs;
