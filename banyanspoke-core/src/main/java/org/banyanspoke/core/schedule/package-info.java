/** Order of waiting tasks. */
package org.banyanspoke.core.schedule;
