package org.banyanspoke.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Future;
import java.util.Map;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.json.Json;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;
import org.banyanspoke.core.quota.QuotaShares;
import org.banyanspoke.daemon.control.ForwardReply;
import org.banyanspoke.daemon.control.ForwardRequest;
import org.banyanspoke.daemon.control.LocalDispatch;
import org.banyanspoke.daemon.jobs.DispatchService;
import org.banyanspoke.daemon.jobs.JobBody;

/**
 * Handles requests that other entry hosts forward for jobs of this process, with the responses of the callers' port.
 */
public final class ForwardedRequestHandler implements LocalDispatch {
    private final DispatchService dispatch;
    private final BodyBudget bodies;

    /**
     * @param dispatch the jobs that this process owns
     * @param bodies memory budget for request bodies, shared with the callers' port
     */
    public ForwardedRequestHandler(DispatchService dispatch, BodyBudget bodies) {
        this.dispatch = dispatch;
        this.bodies = bodies;
    }

    /**
     * Parses bodies and serializes responses of up to 1,100 results outside the control and dispatch threads, because
     * JSON of up to 32 MB takes long enough to delay probes and tasks.
     */
    @Override
    public Single<ForwardReply> handle(ForwardRequest request) {
        return Single.defer(() -> toSingle(run(request)))
                .subscribeOn(Schedulers.computation())
                .observeOn(Schedulers.computation())
                .map(response -> reply(response, 0))
                .onErrorResumeNext(ForwardedRequestHandler::replyToError);
    }

    @Override
    public Completable applyShares(QuotaShares shares) {
        return toSingle(dispatch.query(dispatcher -> {
                    dispatcher.setQuotaShares(shares);
                    return shares;
                }))
                .ignoreElement();
    }

    @Override
    public Single<Map<TeamId, TeamDemand>> demand() {
        return toSingle(dispatch.query(dispatcher -> dispatcher.stats().teamDemand()));
    }

    private Future<HttpResponse> run(ForwardRequest request) throws DispatchException {
        return switch (request.action()) {
            case SUBMIT -> submit(request).map(JobResponses::submitted);
            case STATUS ->
                dispatch.status(request.team(), request.jobId(), request.waitMillis())
                        .map(JobResponses::status);
            case CANCEL -> dispatch.cancel(request.team(), request.jobId()).map(JobResponses::cancelled);
        };
    }

    private Future<JobAnswer> submit(ForwardRequest request) throws DispatchException {
        BodyBudget.Reservation reservation = bodies.open(request.team().value());
        try {
            reservation.grow(request.body().length);
            JobBody body = JobBody.parse(request.body()).onEnd(reservation.retain());
            return dispatch.submit(request.team(), request.jobId(), body, request.waitForEnd());
        } catch (RefusedException e) {
            if (e.kind() == ErrorKind.OVERLOADED) {
                return UnreadBodyErrors.failLocal(dispatch, request.team(), request.jobId(), e);
            }
            throw e;
        } finally {
            reservation.release();
        }
    }

    private static Single<ForwardReply> replyToError(Throwable e) {
        if (!(e instanceof DispatchException known)) {
            return Single.error(e);
        }
        long retryAfterMillis = e instanceof RefusedException refused ? refused.retryAfterMillis() : 0;
        return Single.fromCallable(() -> reply(ErrorAnswers.of(known), retryAfterMillis));
    }

    private static ForwardReply reply(HttpResponse response, long retryAfterMillis) throws JsonProcessingException {
        return new ForwardReply(response.status(), Json.mapper().writeValueAsBytes(response.body()), retryAfterMillis);
    }

    private static <T> Single<T> toSingle(Future<T> future) {
        return Single.create(emitter -> future.onSuccess(emitter::onSuccess).onFailure(emitter::tryOnError));
    }
}
