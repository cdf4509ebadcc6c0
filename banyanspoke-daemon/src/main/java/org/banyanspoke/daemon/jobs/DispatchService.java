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

/** Runs the dispatcher and the backend client on the dispatch thread and ticks them. */
public final class DispatchService implements Service, LocalJobs {
    /** Name under which the kernel knows this service. */
    public static final ServiceName<DispatchService> NAME = new ServiceName<>("dispatch", DispatchService.class);

    /** Interval that {@link Dispatcher#tick} asks for. */
    private static final long TICK_MILLIS = 10;

    private static final long STOP_TIMEOUT_SECONDS = 5;
    private static final EventLog LOG = EventLog.of(DispatchService.class);

    private final Vertx vertx;
    private final DispatchThread thread;
    private final BackendClient backend;
    private final Dispatcher dispatcher;
    private final WorkGate gate;
    /** Callers that wait for the end of a running job by polling. Dispatch thread only. */
    private final ListMultimap<JobId, Consumer<JobAnswer>> waiters = ArrayListMultimap.create();

    private long timerId;

    /**
     * @param vertx owns the event loop of the dispatch thread; closed by {@link #stop}
     * @param thread the dispatch thread
     * @param backend the client; its tick and end are driven from here
     * @param factory creates the dispatcher over the client
     * @param gate checked on the dispatch thread before new work
     * @param events receives what the dispatcher does
     */
    public DispatchService(
            Vertx vertx,
            DispatchThread thread,
            BackendClient backend,
            DispatcherFactory factory,
            WorkGate gate,
            DispatcherListener events) {
        this.vertx = vertx;
        this.thread = thread;
        this.backend = backend;
        this.gate = gate;
        this.dispatcher = factory.create(backend, events);
    }

    @Override
    public void start(Kernel kernel) {
        thread.execute(() -> timerId = vertx.setPeriodic(TICK_MILLIS, unused -> tick()));
    }

    @Override
    public void stop() throws Exception {
        thread.call(() -> {
                    vertx.cancelTimer(timerId);
                    backend.close();
                    return null;
                })
                .toCompletionStage()
                .toCompletableFuture()
                .get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        vertx.close().toCompletionStage().toCompletableFuture().get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Puts a configuration in force for every start from now on. */
    public void configure(ConfigState config) {
        thread.execute(() -> {
            backend.configure(config);
            dispatcher.configure(config);
        });
    }

    /** Runs a command on the dispatcher. */
    public void run(Consumer<Dispatcher> command) {
        thread.execute(() -> command.accept(dispatcher));
    }

    /** Asks the dispatcher something; results are delivered as {@link DispatchThread#call} says. */
    public <T> Future<T> ask(Function<Dispatcher, T> question) {
        return thread.call(() -> question.apply(dispatcher));
    }

    /** Refuses new work from now on. The future completes when the last running job has ended. */
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
        return thread.callAsync(promise -> submitOrEnd(body, () -> submit(team, jobId, body, wait, promise)));
    }

    @Override
    public Future<JobAnswer> submitNew(TeamId team, JobBody body, boolean wait) {
        return thread.callAsync(promise -> submitOrEnd(body, () -> {
            gate.check();
            JobId jobId = dispatcher.reserve(team, 1).get(0);
            submit(team, jobId, body, wait, promise);
        }));
    }

    @Override
    public Future<JobAnswer> status(TeamId team, JobId jobId, long waitMillis) {
        return thread.callAsync(promise -> {
            JobAnswer present = dispatcher.status(team, jobId);
            if (present.state() != JobState.RUNNING || waitMillis == 0) {
                promise.complete(present);
            } else {
                awaitEnd(team, jobId, waitMillis, promise);
            }
        });
    }

    @Override
    public Future<JobAnswer> cancel(TeamId team, JobId jobId) {
        return thread.call(() -> dispatcher.cancel(team, jobId));
    }

    /** A submission that the dispatcher may refuse. */
    @FunctionalInterface
    private interface SubmissionStep {
        void run() throws DispatchException;
    }

    /** A refused body is no longer held; an accepted one is held until its job ends. */
    private static void submitOrEnd(JobBody body, SubmissionStep step) throws DispatchException {
        try {
            step.run();
        } catch (DispatchException | RuntimeException e) {
            body.onEnd().run();
            throw e;
        }
    }

    private void submit(TeamId team, JobId jobId, JobBody body, boolean wait, Promise<JobAnswer> promise)
            throws DispatchException {
        checkGateUnlessKnown(team, jobId);
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

    /** A resubmission is answered even when the host takes no new work. */
    private void checkGateUnlessKnown(TeamId team, JobId jobId) throws DispatchException {
        try {
            gate.check();
        } catch (RefusedException refusal) {
            requireKnown(team, jobId, refusal);
        }
    }

    private void requireKnown(TeamId team, JobId jobId, RefusedException refusal) throws DispatchException {
        try {
            dispatcher.status(team, jobId);
        } catch (DispatchException e) {
            throw e.kind() == ErrorKind.UNKNOWN_JOB ? refusal : e;
        }
    }

    /** Every job of this process was submitted through this class, so its end reaches the waiters. */
    private void awaitEnd(TeamId team, JobId jobId, long waitMillis, Promise<JobAnswer> promise) {
        Consumer<JobAnswer> waiter = promise::tryComplete;
        waiters.put(jobId, waiter);
        long timeout = vertx.setTimer(waitMillis, unused -> {
            waiters.remove(jobId, waiter);
            completeWithStatus(team, jobId, promise);
        });
        promise.future().onComplete(unused -> vertx.cancelTimer(timeout));
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

    /** A fault in one tick must not end the ticks: deadlines of all jobs depend on them. */
    private static void tick(String part, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.event(Logger.Level.ERROR, "a tick failed")
                    .with("part", part)
                    .cause(e)
                    .write();
        }
    }
}
