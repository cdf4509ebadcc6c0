package org.banyanspoke.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.atomic.AtomicInteger;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;

/** Registers routes on a router so that every failure results in an error response. */
final class RouteRegistrar {
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int BAD_REQUEST = 400;
    private static final byte[] NO_BODY = new byte[0];

    private final Router router;
    private final BodyReader bodies;
    private final BodyBudget budget;
    private final ResponseWriter responses;
    private final AtomicInteger inProgress;

    /** Authenticates the caller before the body is read. */
    @FunctionalInterface
    interface AccessCheck {
        /** Returns the name of the caller, or throws if the request is refused. */
        String check(RoutingContext context) throws DispatchException;
    }

    /** Handles a request whose body was not read. */
    @FunctionalInterface
    interface UnreadBodyHandler {
        /** Returns the response; an exception or a failed future becomes an error response. */
        Future<HttpResponse> handle(RoutedRequest request, DispatchException cause) throws DispatchException;
    }

    /** Handles a request. */
    @FunctionalInterface
    interface RequestHandler {
        /** Returns the response; an exception or a failed future becomes an error response. */
        Future<HttpResponse> handle(RoutedRequest request) throws DispatchException;
    }

    /**
     * @param budget memory budget for request bodies
     * @param inProgress number of requests that do not have a complete response yet
     */
    RouteRegistrar(
            Router router, BodyReader bodies, BodyBudget budget, ResponseWriter responses, AtomicInteger inProgress) {
        this.router = router;
        this.bodies = bodies;
        this.budget = budget;
        this.responses = responses;
        this.inProgress = inProgress;
        router.errorHandler(NOT_FOUND, context -> fail(context, ErrorKind.UNKNOWN_ROUTE, "no such route"));
        router.errorHandler(
                METHOD_NOT_ALLOWED,
                context -> fail(
                        context,
                        ErrorKind.METHOD_NOT_ALLOWED,
                        "this route does not support method "
                                + context.request().method()));
        router.errorHandler(
                BAD_REQUEST, context -> fail(context, ErrorKind.MALFORMED_REQUEST, "the path is malformed"));
        router.errorHandler(500, context -> responses.writeError(context.request(), context.failure()));
    }

    /** Registers a route. The body is read only for POST and PUT. */
    void add(HttpMethod method, String path, AccessCheck accessCheck, RequestHandler handler) {
        add(method, path, accessCheck, handler, (request, reason) -> Future.failedFuture(reason));
    }

    /**
     * Registers a route with a handler for requests whose body is not read because of the memory budget or a timeout.
     */
    void add(
            HttpMethod method,
            String path,
            AccessCheck accessCheck,
            RequestHandler handler,
            UnreadBodyHandler unreadBodyHandler) {
        boolean hasBody = method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT);
        router.route(method, path)
                .handler(context -> handle(context, accessCheck, handler, unreadBodyHandler, hasBody));
    }

    private void handle(
            RoutingContext context,
            AccessCheck accessCheck,
            RequestHandler handler,
            UnreadBodyHandler unreadBodyHandler,
            boolean hasBody) {
        HttpServerRequest request = context.request();
        inProgress.incrementAndGet();
        context.addEndHandler(unused -> inProgress.decrementAndGet());
        try {
            BodyBudget.Reservation reservation = budget.open(accessCheck.check(context));
            context.addEndHandler(unused -> reservation.release());
            Future<byte[]> body = hasBody ? bodies.read(request, reservation) : Future.succeededFuture(NO_BODY);
            body.transform(read -> read.succeeded()
                            ? runHandler(handler, new RoutedRequest(context, read.result(), reservation))
                            : handleUnreadBody(
                                    unreadBodyHandler, new RoutedRequest(context, NO_BODY, reservation), read.cause()))
                    .map(response -> write(request, response))
                    .onFailure(e -> responses.writeError(request, e));
        } catch (DispatchException | RuntimeException e) {
            responses.writeError(request, e);
        }
    }

    /** Runs as a stage of the future, so that an exception while writing becomes an error response too. */
    private Void write(HttpServerRequest request, HttpResponse response) {
        responses.write(request, response);
        return null;
    }

    private static Future<HttpResponse> runHandler(RequestHandler handler, RoutedRequest request) {
        try {
            return handler.handle(request);
        } catch (DispatchException e) {
            return Future.failedFuture(e);
        }
    }

    private static Future<HttpResponse> handleUnreadBody(
            UnreadBodyHandler handler, RoutedRequest request, Throwable cause) {
        if (!(cause instanceof DispatchException reason) || !leavesBodyUnread(reason.kind())) {
            return Future.failedFuture(cause);
        }
        try {
            return handler.handle(request, reason);
        } catch (DispatchException e) {
            return Future.failedFuture(e);
        }
    }

    private static boolean leavesBodyUnread(ErrorKind kind) {
        return kind == ErrorKind.OVERLOADED || kind == ErrorKind.REQUEST_TIMEOUT;
    }

    private void fail(RoutingContext context, ErrorKind kind, String message) {
        responses.writeError(context.request(), new DispatchException(kind, message));
    }
}
