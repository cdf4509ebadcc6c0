/** Experiments that compare policies over several bench runs, with a journal of runs and a table of results. */
package org.banyanspoke.bench.experiment;
