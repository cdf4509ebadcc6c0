/** Simulated backend servers and the ledger of their task executions. */
package org.banyanspoke.standins.backend;
