package org.banyanspoke.daemon.http;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.banyanspoke.api.config.BatchConfig;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.daemon.control.ForwardReply;
import org.banyanspoke.daemon.control.ForwardRequest;
import org.banyanspoke.daemon.control.ForwardRequest.Action;
import org.banyanspoke.daemon.control.JobForwarder;
import org.banyanspoke.daemon.jobs.RxFutures;

/** Forwards requests for jobs of other processes to their owners. */
final class OwnerForwarder {
    /** Added to the wait for the exchange with the owner; a round trip between zones takes a few milliseconds. */
    private static final long ROUND_TRIP_ALLOWANCE_MILLIS = 2_000;

    private static final byte[] NO_BODY = new byte[0];

    private final Incarnation localIncarnation;
    private final JobForwarder forwarder;
    private final Supplier<ConfigState> config;

    /**
     * @param localIncarnation incarnation of this process
     * @param forwarder sends the requests to the owners
     * @param config supplies the configuration; the promised time of a batch limits the wait for its jobs
     */
    OwnerForwarder(Incarnation localIncarnation, JobForwarder forwarder, Supplier<ConfigState> config) {
        this.localIncarnation = localIncarnation;
        this.forwarder = forwarder;
        this.config = config;
    }

    /** Returns whether this process owns the job. */
    boolean isOwn(JobId jobId) {
        return jobId.incarnation().equals(localIncarnation);
    }

    Future<HttpResponse> submit(TeamId team, JobId jobId, byte[] body, BatchId batch, boolean wait) {
        long timeoutMillis = ROUND_TRIP_ALLOWANCE_MILLIS + (wait ? promiseMillis(batch) : 0);
        return forward(new ForwardRequest(Action.SUBMIT, team, jobId, body, wait, 0), timeoutMillis);
    }

    Future<HttpResponse> status(TeamId team, JobId jobId, long waitMillis) {
        ForwardRequest request = new ForwardRequest(Action.STATUS, team, jobId, NO_BODY, false, waitMillis);
        return forward(request, ROUND_TRIP_ALLOWANCE_MILLIS + waitMillis);
    }

    Future<HttpResponse> cancel(TeamId team, JobId jobId) {
        return forward(new ForwardRequest(Action.CANCEL, team, jobId, NO_BODY, false, 0), ROUND_TRIP_ALLOWANCE_MILLIS);
    }

    private long promiseMillis(BatchId batch) {
        BatchConfig known = config.get().batches().get(batch);
        return known == null ? 0 : known.promiseMillis();
    }

    private Future<HttpResponse> forward(ForwardRequest request, long timeoutMillis) {
        return RxFutures.toFuture(forwarder.forward(request, timeoutMillis)).map(reply -> toResponse(request, reply));
    }

    private static HttpResponse toResponse(ForwardRequest request, ForwardReply reply) {
        Map<String, String> headers = new HashMap<>();
        headers.put(JobResponses.JOB_ID_HEADER, request.jobId().toString());
        ErrorAnswers.putRetryAfter(headers, reply.retryAfterMillis());
        return new HttpResponse(reply.httpStatus(), headers, reply.body());
    }
}
