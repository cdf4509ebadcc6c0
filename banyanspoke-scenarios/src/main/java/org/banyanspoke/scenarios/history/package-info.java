/** Histories of concurrent runs and the rules that check them. */
package org.banyanspoke.scenarios.history;
