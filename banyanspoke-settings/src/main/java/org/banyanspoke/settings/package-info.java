/** Settings of the daemon: parsing, and validation that reports all faults at once. */
package org.banyanspoke.settings;
