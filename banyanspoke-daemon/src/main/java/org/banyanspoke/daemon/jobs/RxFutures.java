package org.banyanspoke.daemon.jobs;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/** Converts RxJava results of the control plane to Vert.x futures. */
public final class RxFutures {
    private RxFutures() {}

    /**
     * Converts a single to a future that completes on the caller's event loop, because the control plane emits on
     * threads of its own. Must be called on an event loop.
     */
    public static <T> Future<T> toFuture(Single<T> single) {
        Context origin = Vertx.currentContext();
        Promise<T> promise = Promise.promise();
        Disposable subscription = single.subscribe(
                value -> origin.runOnContext(unused -> promise.complete(value)),
                error -> origin.runOnContext(unused -> promise.fail(error)));
        promise.future().onComplete(unused -> subscription.dispose());
        return promise.future();
    }
}
