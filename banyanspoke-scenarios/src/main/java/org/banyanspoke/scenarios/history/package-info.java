/** Histories of concurrent runs and the rules that decide whether a history is allowed. */
package org.banyanspoke.scenarios.history;
