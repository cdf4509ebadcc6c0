/** Time sources that can be injected. */
package org.banyanspoke.core.time;
