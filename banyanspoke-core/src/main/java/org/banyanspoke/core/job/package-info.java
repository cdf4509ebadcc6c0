/** State of one job. */
package org.banyanspoke.core.job;
