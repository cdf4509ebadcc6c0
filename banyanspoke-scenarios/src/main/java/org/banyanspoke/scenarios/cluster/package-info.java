/** Test cluster of entry hosts and simulators as separate processes, and callers that record what they observe. */
package org.banyanspoke.scenarios.cluster;
