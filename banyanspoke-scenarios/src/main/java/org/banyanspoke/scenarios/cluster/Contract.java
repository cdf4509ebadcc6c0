package org.banyanspoke.scenarios.cluster;

import java.time.Instant;
import java.util.Set;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.TeamId;

/** The teams and batches of every test cluster. All of them use the same task ids. */
public enum Contract {
    /** Urgent work of the first team; tickets change the promised time of its batch. */
    MAIN("team", "batch", UrgencyClass.URGENT, Contract.NO_QUOTA, Contract.VALID),
    /** Normal work of another team. */
    OTHER("other-team", "other-batch", UrgencyClass.NORMAL, Contract.NO_QUOTA, Contract.VALID),
    /** Background work that overloads the cluster. */
    FLOOD("flood-team", "flood-batch", UrgencyClass.BACKGROUND, Contract.NO_QUOTA, Contract.VALID),
    /** Normal work of a team limited to 30 tasks in flight. */
    LIMITED("limited-team", "limited-batch", UrgencyClass.NORMAL, 30, Contract.VALID),
    /** Urgent work whose contract has expired. */
    EXPIRED("expired-team", "expired-batch", UrgencyClass.URGENT, Contract.NO_QUOTA, "2020-01-01T00:00:00Z");

    private static final int NO_QUOTA = 1_000_000;
    private static final String VALID = "2099-01-01T00:00:00Z";

    private final String team;
    private final String batch;
    private final UrgencyClass urgency;
    private final int quota;
    private final Instant expiry;

    Contract(String team, String batch, UrgencyClass urgency, int quota, String expiry) {
        this.team = team;
        this.batch = batch;
        this.urgency = urgency;
        this.quota = quota;
        this.expiry = Instant.parse(expiry);
    }

    String team() {
        return team;
    }

    String batch() {
        return batch;
    }

    String token() {
        return team + "-token";
    }

    TeamConfig teamConfig() {
        return new TeamConfig(new TeamId(team), 1, NO_QUOTA, quota, Layout.sha256(token()));
    }

    BatchConfig batchConfig(long promiseMillis) {
        return new BatchConfig(
                new BatchId(batch), new TeamId(team), urgency, expiry, promiseMillis, Set.of(), Set.of());
    }
}
