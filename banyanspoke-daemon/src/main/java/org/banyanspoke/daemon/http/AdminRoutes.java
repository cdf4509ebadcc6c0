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

/** The routes of the operators' port. */
final class AdminRoutes {
    private static final int DEFAULT_TICKETS = 100;
    private static final int MAX_TICKETS = 1_000;
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

    /** A backend server with this host's view of it; the view is absent for servers that this host does not use. */
    private record ServerRow(
            @JsonUnwrapped BackendServerConfig config,
            @JsonInclude(JsonInclude.Include.NON_NULL) DispatcherStats.ServerView view) {}

    void addTo(RouteTable routes) {
        get(routes, "status", call -> status());
        get(routes, "config", call -> ok(control.config()));
        get(
                routes,
                "teams",
                call -> sorted(
                        control.config().teams().values(), team -> team.id().value()));
        get(
                routes,
                "batches",
                call -> sorted(
                        control.config().batches().values(), batch -> batch.id().value()));
        get(
                routes,
                "hosts",
                call -> sorted(
                        control.config().hosts().values(), entry -> entry.id().value()));
        get(routes, "servers", call -> servers());
        get(routes, "members", call -> ok(control.members()));
        get(routes, "metrics", call -> ok(metrics.report()));
        get(routes, "tickets", this::tickets);
        get(routes, "tickets/:number", this::ticket);
        routes.add(HttpMethod.POST, ROOT + "tickets", this::authenticate, this::append);
        routes.add(HttpMethod.POST, ROOT + "drain", this::authenticate, this::drain);
    }

    private void get(RouteTable routes, String path, RouteTable.Action action) {
        routes.add(HttpMethod.GET, ROOT + path, this::authenticate, action);
    }

    private String authenticate(RoutingContext context) throws RefusedException {
        String operator = authenticator.authenticate(context.request());
        context.put(OPERATOR_KEY, operator);
        return operator;
    }

    private Future<HttpAnswer> status() {
        return dispatch.ask(Dispatcher::stats).map(stats -> HttpAnswer.of(HttpAnswer.OK, status(stats)));
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

    private Future<HttpAnswer> servers() {
        ConfigState config = control.config();
        return dispatch.ask(Dispatcher::stats).map(stats -> {
            Map<ServerId, DispatcherStats.ServerView> views = stats.servers().stream()
                    .collect(Collectors.toMap(DispatcherStats.ServerView::server, Function.identity()));
            List<ServerRow> rows = config.servers().values().stream()
                    .sorted(Comparator.comparing(BackendServerConfig::id))
                    .map(server -> new ServerRow(server, views.get(server.id())))
                    .toList();
            return HttpAnswer.of(HttpAnswer.OK, rows);
        });
    }

    private Future<HttpAnswer> tickets(HttpCall call) throws DispatchException {
        int limit = (int) call.integer("limit", DEFAULT_TICKETS, 1, MAX_TICKETS);
        return RxFutures.toFuture(control.latestTickets(limit)).map(list -> HttpAnswer.of(HttpAnswer.OK, list));
    }

    private Future<HttpAnswer> ticket(HttpCall call) throws DispatchException {
        long number = ticketNumber(call.path("number"));
        Single<Optional<Ticket>> found =
                control.ticket(number).map(Optional::of).defaultIfEmpty(Optional.empty());
        return RxFutures.toFuture(found)
                .compose(ticket -> ticket.map(AdminRoutes::ok)
                        .orElseGet(() -> Future.failedFuture(new DispatchException(
                                ErrorKind.UNKNOWN_OBJECT, "this host knows no accepted ticket " + number))));
    }

    private static long ticketNumber(String text) throws DispatchException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new DispatchException(ErrorKind.UNKNOWN_OBJECT, "\"" + text + "\" is not a ticket number", e);
        }
    }

    private Future<HttpAnswer> append(HttpCall call) throws DispatchException {
        Ticket ticket = JobBody.parse(call.body(), Ticket.class);
        LOG.event(Logger.Level.INFO, "an operator sent a ticket")
                .with("operator", call.context().get(OPERATOR_KEY))
                .with("ticket", ticket.number())
                .with("ticketId", ticket.ticketId())
                .write();
        return RxFutures.toFuture(control.appendTicket(ticket)).compose(AdminRoutes::appended);
    }

    private static Future<HttpAnswer> appended(TicketOutcome outcome) {
        try {
            outcome.orThrow();
        } catch (DispatchException e) {
            return Future.failedFuture(e);
        }
        return ok(new Accepted(outcome.number(), "accepted"));
    }

    private Future<HttpAnswer> drain(HttpCall call) {
        LOG.event(Logger.Level.INFO, "an operator asked for a planned stop")
                .with("operator", call.context().get(OPERATOR_KEY))
                .write();
        host.requestDrain();
        return Future.succeededFuture(HttpAnswer.of(HttpAnswer.ACCEPTED, new Draining(true)));
    }

    private static Future<HttpAnswer> ok(Object body) {
        return Future.succeededFuture(HttpAnswer.of(HttpAnswer.OK, body));
    }

    private static <T> Future<HttpAnswer> sorted(Collection<T> objects, Function<T, String> key) {
        return ok(objects.stream().sorted(Comparator.comparing(key)).toList());
    }
}
