/** The entry host process on the platform: follows the store, exchanges states with peers, dispatches for its zone. */
package org.banyanspoke.host;
