/** Selection of backend servers for tasks. */
package org.banyanspoke.core.routing;
