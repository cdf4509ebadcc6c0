/** Dispatching of the tasks of one entry host to backend servers. */
package org.banyanspoke.core.dispatch;
