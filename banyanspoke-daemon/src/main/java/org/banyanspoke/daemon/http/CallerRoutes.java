package org.banyanspoke.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.daemon.jobs.JobBody;
import org.banyanspoke.daemon.jobs.LocalJobs;

/** The routes of the callers' port. */
final class CallerRoutes {
    private static final int MAX_IDS = 1_000;
    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final String TEAM_KEY = "authenticatedTeam";
    private static final String JOBS = "/v1/teams/:team/jobs";
    private static final String JOB = JOBS + "/:jobId";
    private static final RouteTable.Guard OPEN = context -> "";

    private final TeamAuthenticator authenticator;
    private final LocalJobs jobs;
    private final OwnerForwarding owners;
    private final BooleanSupplier ready;

    /**
     * @param jobs jobs of this process
     * @param owners passes requests for other jobs on
     * @param ready what the readiness route reports
     */
    CallerRoutes(TeamAuthenticator authenticator, LocalJobs jobs, OwnerForwarding owners, BooleanSupplier ready) {
        this.authenticator = authenticator;
        this.jobs = jobs;
        this.owners = owners;
        this.ready = ready;
    }

    private record ReserveRequest(Integer count) {}

    private record ReserveAnswer(List<JobId> jobIds) {}

    private record Health(String status) {}

    void addTo(RouteTable routes) {
        routes.add(HttpMethod.GET, "/health/live", OPEN, call -> health(true));
        routes.add(HttpMethod.GET, "/health/ready", OPEN, call -> health(ready.getAsBoolean()));
        routes.add(HttpMethod.POST, "/v1/teams/:team/job-ids", this::authenticate, this::reserve);
        routes.add(HttpMethod.POST, JOBS, this::authenticate, this::submitNew);
        routes.add(HttpMethod.PUT, JOB, this::authenticate, this::submit, this::submitUnread);
        routes.add(HttpMethod.GET, JOB, this::authenticate, this::status);
        routes.add(HttpMethod.DELETE, JOB, this::authenticate, this::cancel);
    }

    private String authenticate(RoutingContext context) throws RefusedException {
        TeamId team = authenticator.authenticate(context.request(), context.pathParam("team"));
        context.put(TEAM_KEY, team);
        return team.value();
    }

    private static Future<HttpAnswer> health(boolean good) {
        int status = good ? HttpAnswer.OK : HttpAnswer.SERVICE_UNAVAILABLE;
        return Future.succeededFuture(HttpAnswer.of(status, new Health(good ? "ok" : "not ready")));
    }

    private Future<HttpAnswer> reserve(HttpCall call) throws DispatchException {
        Integer count = JobBody.parse(call.body(), ReserveRequest.class).count();
        if (count == null || count < 1 || count > MAX_IDS) {
            throw new DispatchException(
                    ErrorKind.MALFORMED_REQUEST, "field count is " + count + ", allowed are 1 to " + MAX_IDS);
        }
        return jobs.reserve(team(call), count).map(ids -> HttpAnswer.of(HttpAnswer.CREATED, new ReserveAnswer(ids)));
    }

    private Future<HttpAnswer> submitNew(HttpCall call) throws DispatchException {
        JobBody body = JobBody.parse(call.body());
        boolean wait = call.flag("wait", true);
        return jobs.submitNew(team(call), body.onEnd(call.held().retain()), wait)
                .map(JobAnswers::submitted);
    }

    private Future<HttpAnswer> submit(HttpCall call) throws DispatchException {
        JobId jobId = jobId(call);
        JobBody body = JobBody.parse(call.body());
        boolean wait = call.flag("wait", true);
        return owners.isOwn(jobId)
                ? jobs.submit(team(call), jobId, body.onEnd(call.held().retain()), wait)
                        .map(JobAnswers::submitted)
                : owners.submit(team(call), jobId, call.body(), body.request().batch(), wait);
    }

    private Future<HttpAnswer> submitUnread(HttpCall call, RefusedException noRoom) throws DispatchException {
        JobId jobId = jobId(call);
        return owners.isOwn(jobId)
                ? UnreadBodies.refuseOwn(jobs, team(call), jobId, noRoom)
                : Future.failedFuture(UnreadBodies.later(jobId, noRoom));
    }

    private Future<HttpAnswer> status(HttpCall call) throws DispatchException {
        JobId jobId = jobId(call);
        long waitMillis = call.integer("waitMillis", 0, 0, MAX_WAIT_MILLIS);
        return owners.isOwn(jobId)
                ? jobs.status(team(call), jobId, waitMillis).map(JobAnswers::status)
                : owners.status(team(call), jobId, waitMillis);
    }

    private Future<HttpAnswer> cancel(HttpCall call) throws DispatchException {
        JobId jobId = jobId(call);
        return owners.isOwn(jobId)
                ? jobs.cancel(team(call), jobId).map(JobAnswers::cancelled)
                : owners.cancel(team(call), jobId);
    }

    private static TeamId team(HttpCall call) {
        return call.context().get(TEAM_KEY);
    }

    private static JobId jobId(HttpCall call) throws DispatchException {
        try {
            return JobId.parse(call.path("jobId"));
        } catch (IllegalArgumentException e) {
            throw new DispatchException(ErrorKind.UNKNOWN_JOB, e.getMessage(), e);
        }
    }
}
