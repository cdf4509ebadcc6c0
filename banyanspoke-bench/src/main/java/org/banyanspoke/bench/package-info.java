/** Measurements of daemons as processes under open-loop load. */
package org.banyanspoke.bench;
