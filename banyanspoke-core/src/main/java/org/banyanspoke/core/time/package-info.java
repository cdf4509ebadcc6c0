/** Time sources that are passed in. */
package org.banyanspoke.core.time;
