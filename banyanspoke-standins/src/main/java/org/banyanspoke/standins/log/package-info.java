/** Simulator of the platform's append-only log. */
package org.banyanspoke.standins.log;
