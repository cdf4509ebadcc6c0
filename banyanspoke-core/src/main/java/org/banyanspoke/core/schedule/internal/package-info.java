/** Implementations of the task queue. */
package org.banyanspoke.core.schedule.internal;
