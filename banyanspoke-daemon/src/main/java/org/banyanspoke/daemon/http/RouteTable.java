package org.banyanspoke.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.atomic.AtomicInteger;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;

/** Adds routes to one router so that every failure ends in a response. */
final class RouteTable {
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int BAD_REQUEST = 400;
    private static final byte[] NO_BODY = new byte[0];

    private final Router router;
    private final BodyReader bodies;
    private final BodyBudget budget;
    private final AnswerWriter answers;
    private final AtomicInteger inProgress;

    /** Checks the caller before the body is read. */
    @FunctionalInterface
    interface Guard {
        /** Lets the request pass and returns the name of the caller, or throws. */
        String check(RoutingContext context) throws DispatchException;
    }

    /** Answers a request whose body was not read. */
    @FunctionalInterface
    interface NoRoom {
        /** Returns the response, or fails. */
        Future<HttpAnswer> answer(HttpCall call, RefusedException refusal) throws DispatchException;
    }

    /** Handles a request. */
    @FunctionalInterface
    interface Action {
        /** Returns the response; an exception or a failed future becomes an error response. */
        Future<HttpAnswer> run(HttpCall call) throws DispatchException;
    }

    /**
     * @param budget room for the bodies
     * @param inProgress counts requests that have no complete response yet
     */
    RouteTable(Router router, BodyReader bodies, BodyBudget budget, AnswerWriter answers, AtomicInteger inProgress) {
        this.router = router;
        this.bodies = bodies;
        this.budget = budget;
        this.answers = answers;
        this.inProgress = inProgress;
        router.errorHandler(NOT_FOUND, context -> fail(context, ErrorKind.UNKNOWN_ROUTE, "no such route"));
        router.errorHandler(
                METHOD_NOT_ALLOWED,
                context -> fail(
                        context,
                        ErrorKind.METHOD_NOT_ALLOWED,
                        "this route has no method " + context.request().method()));
        router.errorHandler(
                BAD_REQUEST, context -> fail(context, ErrorKind.MALFORMED_REQUEST, "the path is malformed"));
        router.errorHandler(500, context -> answers.writeError(context.request(), context.failure()));
    }

    /** Adds a route. The body is read only for POST and PUT. */
    void add(HttpMethod method, String path, Guard guard, Action action) {
        add(method, path, guard, action, (call, refusal) -> Future.failedFuture(refusal));
    }

    /** As above, with another answer than the refusal if there is no room for the body. */
    void add(HttpMethod method, String path, Guard guard, Action action, NoRoom noRoom) {
        boolean hasBody = method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT);
        router.route(method, path).handler(context -> handle(context, guard, action, noRoom, hasBody));
    }

    private void handle(RoutingContext context, Guard guard, Action action, NoRoom noRoom, boolean hasBody) {
        HttpServerRequest request = context.request();
        inProgress.incrementAndGet();
        context.addEndHandler(unused -> inProgress.decrementAndGet());
        try {
            BodyBudget.Share held = budget.open(guard.check(context));
            context.addEndHandler(unused -> held.release());
            Future<byte[]> body = hasBody ? bodies.read(request, held) : Future.succeededFuture(NO_BODY);
            body.transform(read -> read.succeeded()
                            ? run(action, new HttpCall(context, read.result(), held))
                            : unread(noRoom, new HttpCall(context, NO_BODY, held), read.cause()))
                    .map(answer -> write(request, answer))
                    .onFailure(e -> answers.writeError(request, e));
        } catch (DispatchException | RuntimeException e) {
            answers.writeError(request, e);
        }
    }

    /** Runs within the future's chain, so that an exception while writing becomes an error response too. */
    private Void write(HttpServerRequest request, HttpAnswer answer) {
        answers.write(request, answer);
        return null;
    }

    private static Future<HttpAnswer> run(Action action, HttpCall call) {
        try {
            return action.run(call);
        } catch (DispatchException e) {
            return Future.failedFuture(e);
        }
    }

    private static Future<HttpAnswer> unread(NoRoom noRoom, HttpCall call, Throwable cause) {
        if (!(cause instanceof RefusedException refusal)) {
            return Future.failedFuture(cause);
        }
        try {
            return noRoom.answer(call, refusal);
        } catch (DispatchException e) {
            return Future.failedFuture(e);
        }
    }

    private void fail(RoutingContext context, ErrorKind kind, String message) {
        answers.writeError(context.request(), new DispatchException(kind, message));
    }
}
