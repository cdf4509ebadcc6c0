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

/** Reserves job ids. A reservation starts no task, so a lost response is followed by a retry at the next entry host. */
public final class ReserveJobIdsCommand {
    private static final long TIMEOUT_MILLIS = 5_000;

    private final EntryHostClient client;
    private final TeamId team;
    private int count = 1;

    /** Creates a command that reserves one job id. */
    public ReserveJobIdsCommand(EntryHostClient client, TeamId team) {
        this.client = client;
        this.team = team;
    }

    /** Sets the number of ids to reserve, 1 to 1,000. */
    public ReserveJobIdsCommand setCount(int value) {
        count = value;
        return this;
    }

    /**
     * Reserves the ids.
     *
     * @throws DispatchException if an entry host refuses the request
     * @throws ConnectionFailedException if no entry host responds
     */
    public List<JobId> call() throws DispatchException, ConnectionFailedException {
        ConnectionFailedException lastFailure = null;
        for (int i = 0; i < client.addressCount(); i++) {
            try {
                Response response = client.send(
                        i, HttpMethod.POST, "/v1/teams/" + team + "/job-ids", Map.of("count", count), TIMEOUT_MILLIS);
                List<JobId> ids = new ArrayList<>();
                for (JsonNode id : response.successBody().path("jobIds")) {
                    ids.add(JobId.parse(id.asText()));
                }
                return ids;
            } catch (ConnectionFailedException e) {
                lastFailure = e;
            } catch (DispatchException e) {
                if (!isHostSpecific(e.kind()) || i == client.addressCount() - 1) {
                    throw e;
                }
            }
        }
        throw lastFailure;
    }

    private static boolean isHostSpecific(ErrorKind kind) {
        return kind == ErrorKind.DRAINING || kind == ErrorKind.NOT_CONFIGURED || kind == ErrorKind.OVERLOADED;
    }
}
