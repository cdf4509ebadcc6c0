package org.banyanspoke.daemon.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonUnwrapped;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.RoutingContext;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.Ticket;
import org.banyanspoke.api.errors.DispatchException;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.Incarnation;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.core.dispatch.Dispatcher;
import org.banyanspoke.core.dispatch.DispatcherStats;
import org.banyanspoke.daemon.control.ControlPlane;
import org.banyanspoke.daemon.control.TicketOutcome;
import org.banyanspoke.daemon.jobs.DispatchService;
import org.banyanspoke.daemon.jobs.JobBody;
import org.banyanspoke.daemon.jobs.RxFutures;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.daemon.metrics.DaemonMetrics;
import org.jboss.logging.Logger;

/** Routes of the operators' port. */
final class AdminRoutes {
    private static final int DEFAULT_TICKET_LIMIT = 100;
    private static final int MAX_TICKET_LIMIT = 1_000;
    private static final String OPERATOR_KEY = "operator";
    private static final String ROOT = "/v1/admin/";
    private static final EventLog LOG = EventLog.of(AdminRoutes.class);

    private final OperatorAuthenticator authenticator;
    private final HostStatus host;
    private final ControlPlane control;
    private final DispatchService dispatch;
    private final DaemonMetrics metrics;

    AdminRoutes(
            OperatorAuthenticator authenticator,
            HostStatus host,
            ControlPlane control,
            DispatchService dispatch,
            DaemonMetrics metrics) {
        this.authenticator = authenticator;
        this.host = host;
        this.control = control;
        this.dispatch = dispatch;
        this.metrics = metrics;
    }

    private record Status(
            HostId host,
            ZoneId zone,
            Incarnation incarnation,
            boolean ready,
            boolean draining,
            long configNumber,
            String configSource,
            int runningJobs,
            int waitingTasks,
            int tasksInFlight) {}

    private record Accepted(long number, String state) {}

    private record Draining(boolean draining) {}

    /** Configuration of a backend server, with the statistics of this host if it uses the server. */
    private record ServerRow(
            @JsonUnwrapped BackendServerConfig config,
            @JsonInclude(JsonInclude.Include.NON_NULL) DispatcherStats.ServerView view) {}

    void addTo(RouteRegistrar routes) {
        get(routes, "status", request -> status());
        get(routes, "config", request -> ok(control.config()));
        get(
                routes,
                "teams",
                request -> sorted(
                        control.config().teams().values(), team -> team.id().value()));
        get(
                routes,
                "batches",
                request -> sorted(
                        control.config().batches().values(), batch -> batch.id().value()));
        get(
                routes,
                "hosts",
                request -> sorted(
                        control.config().hosts().values(), entry -> entry.id().value()));
        get(routes, "servers", request -> servers());
        get(routes, "members", request -> ok(control.members()));
        get(routes, "metrics", request -> ok(metrics.report()));
        get(routes, "tickets", this::latestTickets);
        get(routes, "tickets/:number", this::ticket);
        routes.add(HttpMethod.POST, ROOT + "tickets", this::authenticate, this::appendTicket);
        routes.add(HttpMethod.POST, ROOT + "drain", this::authenticate, this::drain);
    }

    private void get(RouteRegistrar routes, String path, RouteRegistrar.RequestHandler action) {
        routes.add(HttpMethod.GET, ROOT + path, this::authenticate, action);
    }

    private String authenticate(RoutingContext context) throws RefusedException {
        String operator = authenticator.authenticate(context.request());
        context.put(OPERATOR_KEY, operator);
        return operator;
    }

    private Future<HttpResponse> status() {
        return dispatch.query(Dispatcher::stats).map(stats -> HttpResponse.of(HttpResponse.OK, status(stats)));
    }

    private Status status(DispatcherStats stats) {
        int waiting = stats.waitingTasks().values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        return new Status(
                host.host(),
                host.zone(),
                host.incarnation(),
                host.ready(),
                host.draining(),
                control.config().number(),
                control.configSource(),
                stats.runningJobs(),
                waiting,
                stats.tasksInFlight());
    }

    private Future<HttpResponse> servers() {
        ConfigState config = control.config();
        return dispatch.query(Dispatcher::stats).map(stats -> {
            Map<ServerId, DispatcherStats.ServerView> views = stats.servers().stream()
                    .collect(Collectors.toMap(DispatcherStats.ServerView::server, Function.identity()));
            List<ServerRow> rows = config.servers().values().stream()
                    .sorted(Comparator.comparing(BackendServerConfig::id))
                    .map(server -> new ServerRow(server, views.get(server.id())))
                    .toList();
            return HttpResponse.of(HttpResponse.OK, rows);
        });
    }

    private Future<HttpResponse> latestTickets(RoutedRequest request) throws DispatchException {
        int limit = (int) request.integerParameter("limit", DEFAULT_TICKET_LIMIT, 1, MAX_TICKET_LIMIT);
        return RxFutures.toFuture(control.latestTickets(limit)).map(list -> HttpResponse.of(HttpResponse.OK, list));
    }

    private Future<HttpResponse> ticket(RoutedRequest request) throws DispatchException {
        long number = ticketNumber(request.pathParameter("number"));
        Single<Optional<Ticket>> found =
                control.ticket(number).map(Optional::of).defaultIfEmpty(Optional.empty());
        return RxFutures.toFuture(found)
                .compose(ticket -> ticket.map(AdminRoutes::ok)
                        .orElseGet(() -> Future.failedFuture(new DispatchException(
                                ErrorKind.UNKNOWN_OBJECT, "this host has no accepted ticket with number " + number))));
    }

    private static long ticketNumber(String text) throws DispatchException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new DispatchException(ErrorKind.UNKNOWN_OBJECT, "\"" + text + "\" is not a ticket number", e);
        }
    }

    private Future<HttpResponse> appendTicket(RoutedRequest request) throws DispatchException {
        Ticket ticket = JobBody.parse(request.body(), Ticket.class);
        LOG.event(Logger.Level.INFO, "operator submitted a ticket")
                .with("operator", request.context().get(OPERATOR_KEY))
                .with("ticket", ticket.number())
                .with("ticketId", ticket.ticketId())
                .write();
        return RxFutures.toFuture(control.appendTicket(ticket)).compose(AdminRoutes::ticketResponse);
    }

    private static Future<HttpResponse> ticketResponse(TicketOutcome outcome) {
        try {
            outcome.orThrow();
        } catch (DispatchException e) {
            return Future.failedFuture(e);
        }
        return ok(new Accepted(outcome.number(), "accepted"));
    }

    private Future<HttpResponse> drain(RoutedRequest request) {
        LOG.event(Logger.Level.INFO, "operator requested a graceful shutdown")
                .with("operator", request.context().get(OPERATOR_KEY))
                .write();
        host.requestDrain();
        return Future.succeededFuture(HttpResponse.of(HttpResponse.ACCEPTED, new Draining(true)));
    }

    private static Future<HttpResponse> ok(Object body) {
        return Future.succeededFuture(HttpResponse.of(HttpResponse.OK, body));
    }

    private static <T> Future<HttpResponse> sorted(Collection<T> objects, Function<T, String> key) {
        return ok(objects.stream().sorted(Comparator.comparing(key)).toList());
    }
}
