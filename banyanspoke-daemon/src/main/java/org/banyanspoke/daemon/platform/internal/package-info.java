/** HTTP transport of the platform clients. */
package org.banyanspoke.daemon.platform.internal;
