/** The entry host's process on the platform: follows the store, talks to the other hosts, dispatches for its zone. */
package org.banyanspoke.host;
