package org.banyanspoke.api.config;

import org.banyanspoke.api.ids.TeamId;

/**
 * A client account (team).
 *
 * @param id the team
 * @param weight scheduling weight relative to other teams of the same urgency class, 1 to 1,000
 * @param startsPerSecond quota of task starts per second, over all entry hosts
 * @param tasksInFlight quota of waiting and running tasks, over all entry hosts
 * @param tokenSha256 SHA-256 of the team's access token, in hexadecimal
 */
public record TeamConfig(TeamId id, int weight, int startsPerSecond, int tasksInFlight, String tokenSha256) {}
