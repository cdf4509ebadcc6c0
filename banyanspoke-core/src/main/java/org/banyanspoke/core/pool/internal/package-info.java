/** State of owned servers and of jobs in progress, run time estimation and queue order. */
package org.banyanspoke.core.pool.internal;
