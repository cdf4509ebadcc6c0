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

/** Routes of the callers' port. */
final class CallerRoutes {
    private static final int MAX_JOB_IDS = 1_000;
    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final String TEAM_KEY = "authenticatedTeam";
    private static final String JOBS = "/v1/teams/:team/jobs";
    private static final String JOB = JOBS + "/:jobId";
    private static final RouteRegistrar.AccessCheck NO_AUTHENTICATION = context -> "";

    private final TeamAuthenticator authenticator;
    private final LocalJobs jobs;
    private final OwnerForwarder ownerForwarder;
    private final BooleanSupplier ready;

    /**
     * @param jobs the jobs that this process owns
     * @param ownerForwarder forwards requests for jobs of other processes
     * @param ready supplies the result of the readiness route
     */
    CallerRoutes(
            TeamAuthenticator authenticator, LocalJobs jobs, OwnerForwarder ownerForwarder, BooleanSupplier ready) {
        this.authenticator = authenticator;
        this.jobs = jobs;
        this.ownerForwarder = ownerForwarder;
        this.ready = ready;
    }

    private record ReserveRequest(Integer count) {}

    private record ReserveAnswer(List<JobId> jobIds) {}

    private record Health(String status) {}

    void addTo(RouteRegistrar routes) {
        routes.add(HttpMethod.GET, "/health/live", NO_AUTHENTICATION, request -> health(true));
        routes.add(HttpMethod.GET, "/health/ready", NO_AUTHENTICATION, request -> health(ready.getAsBoolean()));
        routes.add(HttpMethod.POST, "/v1/teams/:team/job-ids", this::authenticate, this::reserve);
        routes.add(HttpMethod.POST, JOBS, this::authenticate, this::submitNew);
        routes.add(HttpMethod.PUT, JOB, this::authenticate, this::submit, this::submitWithoutBody);
        routes.add(HttpMethod.GET, JOB, this::authenticate, this::status);
        routes.add(HttpMethod.DELETE, JOB, this::authenticate, this::cancel);
    }

    private String authenticate(RoutingContext context) throws RefusedException {
        TeamId team = authenticator.authenticate(context.request(), context.pathParam("team"));
        context.put(TEAM_KEY, team);
        return team.value();
    }

    private static Future<HttpResponse> health(boolean healthy) {
        int status = healthy ? HttpResponse.OK : HttpResponse.SERVICE_UNAVAILABLE;
        return Future.succeededFuture(HttpResponse.of(status, new Health(healthy ? "ok" : "not ready")));
    }

    private Future<HttpResponse> reserve(RoutedRequest request) throws DispatchException {
        Integer count = JobBody.parse(request.body(), ReserveRequest.class).count();
        if (count == null || count < 1 || count > MAX_JOB_IDS) {
            throw new DispatchException(
                    ErrorKind.MALFORMED_REQUEST, "field count is " + count + "; must be from 1 to " + MAX_JOB_IDS);
        }
        return jobs.reserve(team(request), count)
                .map(ids -> HttpResponse.of(HttpResponse.CREATED, new ReserveAnswer(ids)));
    }

    private Future<HttpResponse> submitNew(RoutedRequest request) throws DispatchException {
        JobBody body = JobBody.parse(request.body());
        boolean wait = request.booleanParameter("wait", true);
        return jobs.submitNew(team(request), body.onEnd(request.reservation().retain()), wait)
                .map(JobResponses::submitted);
    }

    private Future<HttpResponse> submit(RoutedRequest request) throws DispatchException {
        JobId jobId = jobId(request);
        JobBody body = JobBody.parse(request.body());
        boolean wait = request.booleanParameter("wait", true);
        return ownerForwarder.isOwn(jobId)
                ? jobs.submit(
                                team(request),
                                jobId,
                                body.onEnd(request.reservation().retain()),
                                wait)
                        .map(JobResponses::submitted)
                : ownerForwarder.submit(
                        team(request), jobId, request.body(), body.request().batch(), wait);
    }

    private Future<HttpResponse> submitWithoutBody(RoutedRequest request, DispatchException cause)
            throws DispatchException {
        JobId jobId = jobId(request);
        return ownerForwarder.isOwn(jobId)
                ? UnreadBodyErrors.failLocal(jobs, team(request), jobId, cause)
                : Future.failedFuture(UnreadBodyErrors.mayHaveRun(jobId, cause));
    }

    private Future<HttpResponse> status(RoutedRequest request) throws DispatchException {
        JobId jobId = jobId(request);
        long waitMillis = request.integerParameter("waitMillis", 0, 0, MAX_WAIT_MILLIS);
        return ownerForwarder.isOwn(jobId)
                ? jobs.status(team(request), jobId, waitMillis).map(JobResponses::status)
                : ownerForwarder.status(team(request), jobId, waitMillis);
    }

    private Future<HttpResponse> cancel(RoutedRequest request) throws DispatchException {
        JobId jobId = jobId(request);
        return ownerForwarder.isOwn(jobId)
                ? jobs.cancel(team(request), jobId).map(JobResponses::cancelled)
                : ownerForwarder.cancel(team(request), jobId);
    }

    private static TeamId team(RoutedRequest request) {
        return request.context().get(TEAM_KEY);
    }

    private static JobId jobId(RoutedRequest request) throws DispatchException {
        try {
            return JobId.parse(request.pathParameter("jobId"));
        } catch (IllegalArgumentException e) {
            throw new DispatchException(ErrorKind.UNKNOWN_JOB, e.getMessage(), e);
        }
    }
}
