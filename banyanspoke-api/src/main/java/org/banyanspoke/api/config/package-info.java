/** Configuration objects and change tickets. */
package org.banyanspoke.api.config;
