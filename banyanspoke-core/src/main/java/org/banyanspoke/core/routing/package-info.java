/** Choice of a backend server. */
package org.banyanspoke.core.routing;
