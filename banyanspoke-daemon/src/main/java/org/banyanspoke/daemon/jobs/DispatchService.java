package org.banyanspoke.daemon.jobs;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.api.job.JobAnswer;
import org.banyanspoke.api.job.JobState;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.Dispatcher;
import org.banyanspoke.core.dispatch.DispatcherListener;
import org.banyanspoke.core.dispatch.Submission;
import org.banyanspoke.daemon.backend.BackendClient;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.kernel.Kernel;
import org.banyanspoke.kernel.Service;
import org.banyanspoke.kernel.ServiceName;
import org.jboss.logging.Logger;

/** Runs the dispatcher and the backend client on the dispatch thread and calls their periodic ticks. */
public final class DispatchService implements Service, LocalJobs {
    /** Name under which this service is registered in the kernel. */
    public static final ServiceName<DispatchService> NAME = new ServiceName<>("dispatch", DispatchService.class);

    /** Interval that {@link Dispatcher#tick} requires. */
    private static final long TICK_MILLIS = 10;

    private static final long STOP_TIMEOUT_SECONDS = 5;
    private static final EventLog LOG = EventLog.of(DispatchService.class);

    private final Vertx vertx;
    private final DispatchThread thread;
    private final BackendClient backend;
    private final Dispatcher dispatcher;
    private final AdmissionGate gate;
    /** Status requests that wait for the end of a running job. Confined to the dispatch thread. */
    private final ListMultimap<JobId, Consumer<JobAnswer>> waiters = ArrayListMultimap.create();

    private long tickTimerId;

    /**
     * @param vertx owns the event loop of the dispatch thread; closed by {@link #stop}
     * @param thread the thread on which the dispatcher and the client run
     * @param backend the backend client; ticked and closed by this service
     * @param factory creates the dispatcher, which sends tasks through the client
     * @param gate checked on the dispatch thread before new work is accepted
     * @param listener receives the events of the dispatcher
     */
    public DispatchService(
            Vertx vertx,
            DispatchThread thread,
            BackendClient backend,
            DispatcherFactory factory,
            AdmissionGate gate,
            DispatcherListener listener) {
        this.vertx = vertx;
        this.thread = thread;
        this.backend = backend;
        this.gate = gate;
        this.dispatcher = factory.create(backend, listener);
    }

    @Override
    public void start(Kernel kernel) {
        thread.execute(() -> tickTimerId = vertx.setPeriodic(TICK_MILLIS, unused -> tick()));
    }

    @Override
    public void stop() throws Exception {
        thread.call(() -> {
                    vertx.cancelTimer(tickTimerId);
                    backend.close();
                    return null;
                })
                .toCompletionStage()
                .toCompletableFuture()
                .get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        vertx.close().toCompletionStage().toCompletableFuture().get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Applies a configuration to all tasks that start after this call. */
    public void configure(ConfigState config) {
        thread.execute(() -> {
            backend.configure(config);
            dispatcher.configure(config);
        });
    }

    /** Runs an action on the dispatcher, on the dispatch thread. Returns without waiting for it. */
    public void run(Consumer<Dispatcher> action) {
        thread.execute(() -> action.accept(dispatcher));
    }

    /**
     * Applies a function to the dispatcher, on the dispatch thread. Delivers the result as {@link DispatchThread#call}
     * does.
     */
    public <T> Future<T> query(Function<Dispatcher, T> query) {
        return thread.call(() -> query.apply(dispatcher));
    }

    /** Refuses new work after this call. The future completes when the last running job has ended. */
    public Future<Void> drain() {
        return thread.callAsync(promise -> dispatcher.drain(promise::complete));
    }

    @Override
    public Future<List<JobId>> reserve(TeamId team, int count) {
        return thread.call(() -> {
            gate.check();
            return dispatcher.reserve(team, count);
        });
    }

    @Override
    public Future<JobAnswer> submit(TeamId team, JobId jobId, JobBody body, boolean wait) {
        return thread.callAsync(promise -> submitOrRelease(body, () -> submit(team, jobId, body, wait, promise)));
    }

    @Override
    public Future<JobAnswer> submitNew(TeamId team, JobBody body, boolean wait) {
        return thread.callAsync(promise -> submitOrRelease(body, () -> {
            gate.check();
            JobId jobId = dispatcher.reserve(team, 1).get(0);
            submit(team, jobId, body, wait, promise);
        }));
    }

    @Override
    public Future<JobAnswer> status(TeamId team, JobId jobId, long waitMillis) {
        return thread.callAsync(promise -> {
            JobAnswer current = dispatcher.status(team, jobId);
            if (current.state() != JobState.RUNNING || waitMillis == 0) {
                promise.complete(current);
            } else {
                awaitEnd(team, jobId, waitMillis, promise);
            }
        });
    }

    @Override
    public Future<JobAnswer> cancel(TeamId team, JobId jobId) {
        return thread.call(() -> dispatcher.cancel(team, jobId));
    }

    /** Submission step that may be refused. */
    @FunctionalInterface
    private interface SubmissionStep {
        void run() throws DispatchException;
    }

    /** Releases the body if the submission is refused; the body of an accepted one is held until its job ends. */
    private static void submitOrRelease(JobBody body, SubmissionStep step) throws DispatchException {
        try {
            step.run();
        } catch (DispatchException | RuntimeException e) {
            body.onEnd().run();
            throw e;
        }
    }

    private void submit(TeamId team, JobId jobId, JobBody body, boolean wait, Promise<JobAnswer> promise)
            throws DispatchException {
        checkGateUnlessResubmission(team, jobId);
        Submission submission = new Submission(team, jobId, body.request(), body.digest());
        dispatcher.submit(submission, answer -> {
            body.onEnd().run();
            promise.tryComplete(answer);
            waiters.removeAll(jobId).forEach(waiter -> waiter.accept(answer));
        });
        if (!wait && !promise.future().isComplete()) {
            promise.complete(dispatcher.status(team, jobId));
        }
    }

    /** Allows resubmissions of known jobs even while the host refuses new work. */
    private void checkGateUnlessResubmission(TeamId team, JobId jobId) throws DispatchException {
        try {
            gate.check();
        } catch (RefusedException refusal) {
            requireKnownJob(team, jobId, refusal);
        }
    }

    private void requireKnownJob(TeamId team, JobId jobId, RefusedException refusal) throws DispatchException {
        try {
            dispatcher.status(team, jobId);
        } catch (DispatchException e) {
            throw e.kind() == ErrorKind.UNKNOWN_JOB ? refusal : e;
        }
    }

    /**
     * Waits for the end of a job or a timeout. Every job was submitted through this class, so its end reaches the
     * waiters.
     */
    private void awaitEnd(TeamId team, JobId jobId, long waitMillis, Promise<JobAnswer> promise) {
        Consumer<JobAnswer> waiter = promise::tryComplete;
        waiters.put(jobId, waiter);
        long timeoutTimerId = vertx.setTimer(waitMillis, unused -> {
            waiters.remove(jobId, waiter);
            completeWithStatus(team, jobId, promise);
        });
        promise.future().onComplete(unused -> vertx.cancelTimer(timeoutTimerId));
    }

    private void completeWithStatus(TeamId team, JobId jobId, Promise<JobAnswer> promise) {
        try {
            promise.tryComplete(dispatcher.status(team, jobId));
        } catch (DispatchException e) {
            promise.tryFail(e);
        }
    }

    private void tick() {
        tick("backend client", backend::tick);
        tick("dispatcher", dispatcher::tick);
    }

    /** Catches exceptions, so that later ticks still run: the deadlines of all jobs depend on them. */
    private static void tick(String component, Runnable tick) {
        try {
            tick.run();
        } catch (RuntimeException e) {
            LOG.event(Logger.Level.ERROR, "periodic tick failed")
                    .with("part", component)
                    .cause(e)
                    .write();
        }
    }
}
