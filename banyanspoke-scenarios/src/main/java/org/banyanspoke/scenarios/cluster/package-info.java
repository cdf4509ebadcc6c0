/** Entry hosts and stand-ins as separate processes, and callers that record what they see. */
package org.banyanspoke.scenarios.cluster;
