/** Scenario and fault-injection tests against a cluster of separate processes. */
package org.banyanspoke.scenarios;
