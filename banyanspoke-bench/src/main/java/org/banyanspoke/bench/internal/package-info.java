/** Load, processes, faults and evaluation of the bench. */
package org.banyanspoke.bench.internal;
