/** TCP relay that simulates network partitions. */
package org.banyanspoke.standins.relay;
