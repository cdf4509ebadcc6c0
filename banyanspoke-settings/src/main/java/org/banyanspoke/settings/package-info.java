/** Settings of the daemon: reading, checking and reporting every fault at once. */
package org.banyanspoke.settings;
