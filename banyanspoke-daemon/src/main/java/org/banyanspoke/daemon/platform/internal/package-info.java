/** HTTP requests to the platform. */
package org.banyanspoke.daemon.platform.internal;
