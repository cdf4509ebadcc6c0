/** Accepted configuration, its tickets and its log offset. */
package org.banyanspoke.core.config;
