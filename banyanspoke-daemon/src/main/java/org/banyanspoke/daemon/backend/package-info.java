/** HTTP client for backend servers. Everything here runs on the dispatch thread. */
package org.banyanspoke.daemon.backend;
