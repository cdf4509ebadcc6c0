/** The daemon process: wiring of services, the dispatch thread and the planned stop. */
package org.banyanspoke.daemon;
