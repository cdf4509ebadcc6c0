/** Job ids, the register of used ids and its archive. */
package org.banyanspoke.core.identity;
