/** Log output: JSON lines on standard error. */
package org.banyanspoke.daemon.logging;
