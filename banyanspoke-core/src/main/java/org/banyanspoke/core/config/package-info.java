/** Accepted configuration, tickets and the log position. */
package org.banyanspoke.core.config;
