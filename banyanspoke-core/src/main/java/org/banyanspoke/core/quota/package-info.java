/** Distribution of team quotas among the entry hosts, and quota loans between them. */
package org.banyanspoke.core.quota;
