/**
 * Election of the dispatcher of each zone and routing of jobs to dispatchers; fencing tokens ensure exclusive
 * ownership.
 */
package org.banyanspoke.core.ownership;
