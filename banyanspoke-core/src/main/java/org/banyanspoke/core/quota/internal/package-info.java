/** Implementation of quota lending. */
package org.banyanspoke.core.quota.internal;
