/** Random faults from a seed against a cluster of real processes under load. */
package org.banyanspoke.scenarios.faults;
