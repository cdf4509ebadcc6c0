/** State of owned servers, jobs in progress, learned speeds and the order of jobs. */
package org.banyanspoke.core.pool.internal;
