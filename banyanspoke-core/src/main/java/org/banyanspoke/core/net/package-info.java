/** Network addresses. */
package org.banyanspoke.core.net;
