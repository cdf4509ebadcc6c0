/** Structured logging as JSON lines on standard error or standard output. */
package org.banyanspoke.daemon.logging;
