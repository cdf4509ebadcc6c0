/** Validation of tickets. */
package org.banyanspoke.core.config.internal;
