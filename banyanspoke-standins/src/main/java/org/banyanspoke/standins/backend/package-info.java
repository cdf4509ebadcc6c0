/** Backend servers and the ledger of what they started. */
package org.banyanspoke.standins.backend;
