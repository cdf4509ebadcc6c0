/** A TCP relay that can be cut. */
package org.banyanspoke.standins.relay;
