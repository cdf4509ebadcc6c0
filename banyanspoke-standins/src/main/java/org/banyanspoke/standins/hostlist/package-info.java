/** The platform's lagging list of hosts. */
package org.banyanspoke.standins.hostlist;
