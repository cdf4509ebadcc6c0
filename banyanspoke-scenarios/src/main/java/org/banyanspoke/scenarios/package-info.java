/** Scripted scenarios against real processes. */
package org.banyanspoke.scenarios;
