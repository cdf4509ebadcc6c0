/** Refusal of work before it is queued. */
package org.banyanspoke.core.admission;
