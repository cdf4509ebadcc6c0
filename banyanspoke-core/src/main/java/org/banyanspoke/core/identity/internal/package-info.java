/** Implementations of the job id issuer and the job registry. */
package org.banyanspoke.core.identity.internal;
