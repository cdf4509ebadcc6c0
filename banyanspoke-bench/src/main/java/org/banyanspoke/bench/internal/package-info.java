/** Load generation, process management, fault injection and evaluation of the bench. */
package org.banyanspoke.bench.internal;
