/** Implementation of the dispatcher. */
package org.banyanspoke.core.dispatch.internal;
