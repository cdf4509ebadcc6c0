package org.banyanspoke.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;

/** Reserves job ids. Reserving starts nothing, so a lost answer is followed by another try at the next entry host. */
public final class ReserveJobIds {
    private static final long TIMEOUT_MILLIS = 5_000;

    private final EntryHosts hosts;
    private final TeamId team;
    private int count = 1;

    /** Creates a command that reserves one id. */
    public ReserveJobIds(EntryHosts hosts, TeamId team) {
        this.hosts = hosts;
        this.team = team;
    }

    /** Sets how many ids to reserve, 1 to 1,000. */
    public ReserveJobIds setCount(int value) {
        count = value;
        return this;
    }

    /**
     * Reserves the ids.
     *
     * @throws DispatchException if an entry host refuses
     * @throws ConnectionFailedException if no entry host answers
     */
    public List<JobId> call() throws DispatchException, ConnectionFailedException {
        ConnectionFailedException last = null;
        for (int i = 0; i < hosts.size(); i++) {
            try {
                Response response = hosts.send(
                        i, HttpMethod.POST, "/v1/teams/" + team + "/job-ids", Map.of("count", count), TIMEOUT_MILLIS);
                List<JobId> ids = new ArrayList<>();
                for (JsonNode id : response.success().path("jobIds")) {
                    ids.add(JobId.parse(id.asText()));
                }
                return ids;
            } catch (ConnectionFailedException e) {
                last = e;
            } catch (DispatchException e) {
                if (!mayDifferElsewhere(e.kind()) || i == hosts.size() - 1) {
                    throw e;
                }
            }
        }
        throw last;
    }

    private static boolean mayDifferElsewhere(ErrorKind kind) {
        return kind == ErrorKind.DRAINING || kind == ErrorKind.NOT_CONFIGURED || kind == ErrorKind.OVERLOADED;
    }
}
