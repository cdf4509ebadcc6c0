/** Job ids, the registry of used ids and its archive. */
package org.banyanspoke.core.identity;
