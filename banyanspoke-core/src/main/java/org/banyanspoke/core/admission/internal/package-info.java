/** Implementations of the package above. */
package org.banyanspoke.core.admission.internal;
