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

/** Passes requests for jobs of other processes on to their owners. */
final class OwnerForwarding {
    /** Time for the way to the owner and back; a round trip between zones takes a few milliseconds. */
    private static final long MARGIN_MILLIS = 2_000;

    private static final byte[] NO_BODY = new byte[0];

    private final Incarnation self;
    private final JobForwarder forwarder;
    private final Supplier<ConfigState> config;

    /**
     * @param self this process
     * @param forwarder sends the requests
     * @param config gives the promises of batches, which limit the wait
     */
    OwnerForwarding(Incarnation self, JobForwarder forwarder, Supplier<ConfigState> config) {
        this.self = self;
        this.forwarder = forwarder;
        this.config = config;
    }

    /** Returns whether this process owns the job. */
    boolean isOwn(JobId jobId) {
        return jobId.incarnation().equals(self);
    }

    Future<HttpAnswer> submit(TeamId team, JobId jobId, byte[] body, BatchId batch, boolean wait) {
        long timeoutMillis = MARGIN_MILLIS + (wait ? promiseMillis(batch) : 0);
        return forward(new ForwardRequest(Action.SUBMIT, team, jobId, body, wait, 0), timeoutMillis);
    }

    Future<HttpAnswer> status(TeamId team, JobId jobId, long waitMillis) {
        ForwardRequest request = new ForwardRequest(Action.STATUS, team, jobId, NO_BODY, false, waitMillis);
        return forward(request, MARGIN_MILLIS + waitMillis);
    }

    Future<HttpAnswer> cancel(TeamId team, JobId jobId) {
        return forward(new ForwardRequest(Action.CANCEL, team, jobId, NO_BODY, false, 0), MARGIN_MILLIS);
    }

    private long promiseMillis(BatchId batch) {
        BatchConfig known = config.get().batches().get(batch);
        return known == null ? 0 : known.promiseMillis();
    }

    private Future<HttpAnswer> forward(ForwardRequest request, long timeoutMillis) {
        return RxFutures.toFuture(forwarder.forward(request, timeoutMillis)).map(reply -> answer(request, reply));
    }

    private static HttpAnswer answer(ForwardRequest request, ForwardReply reply) {
        Map<String, String> headers = new HashMap<>();
        headers.put(JobAnswers.JOB_ID_HEADER, request.jobId().toString());
        ErrorAnswers.putRetryAfter(headers, reply.retryAfterMillis());
        return new HttpAnswer(reply.httpStatus(), headers, reply.body());
    }
}
