/** Series of bench runs that compare policies, with a journal of runs and a table of results. */
package org.banyanspoke.bench.experiment;
