/** Queues that determine the order in which waiting tasks are sent. */
package org.banyanspoke.core.schedule;
