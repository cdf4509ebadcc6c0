/** The dispatcher of one entry host. */
package org.banyanspoke.core.dispatch;
