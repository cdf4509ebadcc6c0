package org.banyanspoke.daemon.jobs;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/** Turns results of the control plane into futures of Vert.x. */
public final class RxFutures {
    private RxFutures() {}

    /** Delivers on the caller's event loop, on which it must be called; the control plane delivers on its own threads. */
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
