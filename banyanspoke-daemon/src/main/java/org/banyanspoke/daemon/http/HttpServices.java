package org.banyanspoke.daemon.http;

import io.vertx.core.Vertx;
import org.banyanspoke.daemon.control.ControlPlane;
import org.banyanspoke.daemon.control.JobForwarder;
import org.banyanspoke.daemon.jobs.DispatchService;
import org.banyanspoke.daemon.jobs.LocalJobs;
import org.banyanspoke.daemon.metrics.DaemonMetrics;
import org.banyanspoke.kernel.ServiceName;
import org.banyanspoke.settings.Settings;

/** Creates the two HTTP services. Each has its own router, so the callers' port has no operator routes. */
public final class HttpServices {
    /** Name of the service of the callers' port. */
    public static final ServiceName<HttpService> CALLERS = new ServiceName<>("callers-http", HttpService.class);

    /** Name of the service of the operators' port. */
    public static final ServiceName<HttpService> ADMIN = new ServiceName<>("admin-http", HttpService.class);

    private HttpServices() {}

    /**
     * Creates the service of the callers' port.
     *
     * @param eventLoops number of event loops that parse requests
     * @param jobs the jobs that this process owns
     * @param forwarder forwards requests for jobs of other processes
     * @param bodies memory budget for request bodies
     */
    public static HttpService callers(
            Vertx vertx,
            Settings.Callers settings,
            int eventLoops,
            ControlPlane control,
            LocalJobs jobs,
            JobForwarder forwarder,
            HostStatus host,
            BodyBudget bodies,
            DaemonMetrics metrics) {
        HttpService.Options options = HttpService.Options.of(settings.address(), eventLoops, settings);
        CallerRoutes routes = new CallerRoutes(
                new TeamAuthenticator(control::config),
                jobs,
                new OwnerForwarder(host.incarnation(), forwarder, control::config),
                host::ready);
        return new HttpService(vertx, options, routes::addTo, bodies, metrics::countErrorResponse);
    }

    /**
     * Creates the service of the operators' port. It has the limits of the callers' port but a memory budget of its
     * own, so that operators can still send requests while the callers' port is overloaded.
     */
    public static HttpService admin(
            Vertx vertx,
            Settings settings,
            HostStatus host,
            ControlPlane control,
            DispatchService dispatch,
            DaemonMetrics metrics) {
        Settings.Callers limits = settings.callers();
        HttpService.Options options = HttpService.Options.of(settings.admin().address(), 1, limits);
        BodyBudget bodies = new BodyBudget(limits.maxHeldBodyBytes());
        OperatorAuthenticator authenticator =
                new OperatorAuthenticator(settings.admin().operatorTokensSha256());
        AdminRoutes routes = new AdminRoutes(authenticator, host, control, dispatch, metrics);
        return new HttpService(vertx, options, routes::addTo, bodies, metrics::countErrorResponse);
    }
}
