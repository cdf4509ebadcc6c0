/** HTTP servers for callers and operators. */
package org.banyanspoke.daemon.http;
