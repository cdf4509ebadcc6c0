/** Simulator of the platform's eventually consistent host list. */
package org.banyanspoke.standins.hostlist;
