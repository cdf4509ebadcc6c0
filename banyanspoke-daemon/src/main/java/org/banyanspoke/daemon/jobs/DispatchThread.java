package org.banyanspoke.daemon.jobs;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.Callable;

/**
 * The single thread to which the dispatcher is confined. It is a Vert.x event loop that also runs the connections to
 * backend servers, so responses reach the dispatcher without a thread switch.
 */
public final class DispatchThread {
    private final Context context;

    /**
     * @param context an event-loop context that nothing else uses
     */
    public DispatchThread(Context context) {
        this.context = context;
    }

    /** Returns the event-loop context. */
    public Context context() {
        return context;
    }

    /** Schedules a task on this thread. Returns without waiting for it. */
    public void execute(Runnable task) {
        context.runOnContext(unused -> task.run());
    }

    /**
     * Runs a call on this thread.
     *
     * @return its result or exception, delivered on the caller's Vert.x context or, if there is none, on this thread
     */
    public <T> Future<T> call(Callable<T> call) {
        return callAsync(promise -> promise.complete(call.call()));
    }

    /**
     * Runs a call on this thread; it may complete its promise at any later time.
     *
     * @return the result of the promise, delivered as by {@link #call}
     */
    public <T> Future<T> callAsync(AsyncCall<T> call) {
        Context origin = Vertx.currentContext();
        Promise<T> delivered = Promise.promise();
        Promise<T> promise = Promise.promise();
        promise.future().onComplete(result -> deliver(origin, () -> delivered.handle(result)));
        execute(() -> {
            try {
                call.run(promise);
            } catch (Exception e) {
                promise.tryFail(e);
            }
        });
        return delivered.future();
    }

    private static void deliver(Context origin, Runnable delivery) {
        if (origin == null || origin == Vertx.currentContext()) {
            delivery.run();
        } else {
            origin.runOnContext(unused -> delivery.run());
        }
    }

    /**
     * A call that completes asynchronously.
     *
     * @param <T> type of the result
     */
    @FunctionalInterface
    public interface AsyncCall<T> {
        /** Starts the call; an exception fails the promise. */
        void run(Promise<T> promise) throws Exception;
    }
}
