/** HTTP client for backend servers. All classes are confined to the dispatch thread. */
package org.banyanspoke.daemon.backend;
