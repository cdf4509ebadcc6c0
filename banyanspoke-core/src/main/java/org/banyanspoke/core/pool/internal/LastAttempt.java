package org.banyanspoke.core.pool.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.banyanspoke.core.pool.ServerDescriptor;

/**
 * Keeps the last attempt of a task from servers that may fail it, as the job fails with it. Applies only while another
 * server has room, or is expected to have it before the job expires.
 */
final class LastAttempt {
    private final Collection<OwnedServer> servers;
    private final ToDoubleFunction<ServerDescriptor> runMillis;

    /**
     * @param servers all servers of the pool
     * @param runMillis expected run time of the task on a server
     */
    LastAttempt(Collection<OwnedServer> servers, ToDoubleFunction<ServerDescriptor> runMillis) {
        this.servers = servers;
        this.runMillis = runMillis;
    }

    /** Returns the servers that are not suspect. */
    List<OwnedServer> trusted() {
        boolean anySuccess = anySuccess();
        List<OwnedServer> trusted = new ArrayList<>();
        for (OwnedServer server : servers) {
            if (!isSuspect(server.circuitBreaker(), anySuccess)) {
                trusted.add(server);
            }
        }
        return trusted;
    }

    /** Returns whether a trusted server that runs other tasks now is expected to end the next task in time. */
    boolean waits(JobProgress job, Collection<OwnedServer> trusted, long nowMillis) {
        long expiryMillis = Math.min(job.expiresAtMillis(), job.callerDeadlineMillis());
        List<OwnedServer> sameService = new ArrayList<>();
        for (OwnedServer server : trusted) {
            if (server.descriptor().service().equals(job.job().queuePolicy().service())) {
                sameService.add(server);
            }
        }
        NearRoom room = new NearRoom(sameService, nowMillis);
        int planned = room.plan(
                job,
                1,
                runMillis,
                slot -> slot.startMillis() + ServerSelector.RUN_TIME_MARGIN * slot.runMillis() <= expiryMillis);
        return planned > 0;
    }

    private boolean anySuccess() {
        for (OwnedServer server : servers) {
            if (server.circuitBreaker().hasSucceeded()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a server has had too few successes since it failed a task, or none since it was claimed although
     * others have.
     */
    static boolean isSuspect(ServerCircuitBreaker breaker, boolean anySuccess) {
        return breaker.hasUnresolvedFailure() || (anySuccess && !breaker.hasSucceeded());
    }
}
