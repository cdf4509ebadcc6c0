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

/** Serves other entry hosts with the jobs of this process, with the same responses as on the callers' port. */
public final class ForwardedJobs implements LocalDispatch {
    private final DispatchService dispatch;
    private final BodyBudget bodies;

    /**
     * @param dispatch the jobs of this process
     * @param bodies room for the bodies; the same as on the callers' port
     */
    public ForwardedJobs(DispatchService dispatch, BodyBudget bodies) {
        this.dispatch = dispatch;
        this.bodies = bodies;
    }

    /**
     * Bodies are read and responses of up to 1,100 results are written as JSON outside the control and dispatch threads: 32 MB
     * take long enough to delay probes and tasks.
     */
    @Override
    public Single<ForwardReply> handle(ForwardRequest request) {
        return Single.defer(() -> toSingle(run(request)))
                .subscribeOn(Schedulers.computation())
                .observeOn(Schedulers.computation())
                .map(answer -> reply(answer, 0))
                .onErrorResumeNext(ForwardedJobs::replyToError);
    }

    @Override
    public Completable applyShares(QuotaShares shares) {
        return toSingle(dispatch.ask(dispatcher -> {
                    dispatcher.setQuotaShares(shares);
                    return shares;
                }))
                .ignoreElement();
    }

    @Override
    public Single<Map<TeamId, TeamDemand>> demand() {
        return toSingle(dispatch.ask(dispatcher -> dispatcher.stats().teamDemand()));
    }

    private Future<HttpAnswer> run(ForwardRequest request) throws DispatchException {
        return switch (request.action()) {
            case SUBMIT -> submit(request).map(JobAnswers::submitted);
            case STATUS ->
                dispatch.status(request.team(), request.jobId(), request.waitMillis())
                        .map(JobAnswers::status);
            case CANCEL -> dispatch.cancel(request.team(), request.jobId()).map(JobAnswers::cancelled);
        };
    }

    private Future<JobAnswer> submit(ForwardRequest request) throws DispatchException {
        BodyBudget.Share held = bodies.open(request.team().value());
        try {
            held.grow(request.body().length);
            JobBody body = JobBody.parse(request.body()).onEnd(held.retain());
            return dispatch.submit(request.team(), request.jobId(), body, request.waitForEnd());
        } catch (RefusedException e) {
            if (e.kind() == ErrorKind.OVERLOADED) {
                return UnreadBodies.refuseOwn(dispatch, request.team(), request.jobId(), e);
            }
            throw e;
        } finally {
            held.release();
        }
    }

    private static Single<ForwardReply> replyToError(Throwable e) {
        if (!(e instanceof DispatchException known)) {
            return Single.error(e);
        }
        long retryAfterMillis = e instanceof RefusedException refused ? refused.retryAfterMillis() : 0;
        return Single.fromCallable(() -> reply(ErrorAnswers.of(known), retryAfterMillis));
    }

    private static ForwardReply reply(HttpAnswer answer, long retryAfterMillis) throws JsonProcessingException {
        return new ForwardReply(answer.status(), Json.mapper().writeValueAsBytes(answer.body()), retryAfterMillis);
    }

    private static <T> Single<T> toSingle(Future<T> future) {
        return Single.create(emitter -> future.onSuccess(emitter::onSuccess).onFailure(emitter::tryOnError));
    }
}
