/** The daemon process: service wiring, command line and graceful shutdown. */
package org.banyanspoke.daemon;
