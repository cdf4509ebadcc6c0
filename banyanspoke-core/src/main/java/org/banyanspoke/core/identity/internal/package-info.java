/** Implementations of the package above. */
package org.banyanspoke.core.identity.internal;
