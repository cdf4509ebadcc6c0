/** HTTP servers for callers and for operators. */
package org.banyanspoke.daemon.http;
