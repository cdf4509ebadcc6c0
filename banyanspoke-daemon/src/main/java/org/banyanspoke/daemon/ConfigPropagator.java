package org.banyanspoke.daemon;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import org.banyanspoke.core.config.ConfigState;
import org.banyanspoke.daemon.control.ControlPlane;
import org.banyanspoke.daemon.jobs.DispatchService;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.kernel.Kernel;
import org.banyanspoke.kernel.Service;
import org.banyanspoke.kernel.ServiceName;
import org.jboss.logging.Logger;

/**
 * Propagates immutable configuration snapshots and the set of leaving servers from the control plane to the dispatch
 * thread. Quota shares are set through {@link org.banyanspoke.daemon.control.LocalDispatch} instead, because a lender
 * has to know when they are in force.
 */
final class ConfigPropagator implements Service {
    static final ServiceName<ConfigPropagator> NAME = new ServiceName<>("config-link", ConfigPropagator.class);

    private static final EventLog LOG = EventLog.of(ConfigPropagator.class);

    private final ControlPlane control;
    private final DispatchService dispatch;
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    ConfigPropagator(ControlPlane control, DispatchService dispatch) {
        this.control = control;
        this.dispatch = dispatch;
    }

    @Override
    public void start(Kernel kernel) {
        subscriptions.add(control.configs().subscribe(this::onConfig, ConfigPropagator::onStreamFailed));
        subscriptions.add(control.leavingServers()
                .subscribe(
                        leaving -> dispatch.run(dispatcher -> dispatcher.setLeaving(leaving)),
                        ConfigPropagator::onStreamFailed));
    }

    @Override
    public void stop() {
        subscriptions.dispose();
    }

    private void onConfig(ConfigState config) {
        dispatch.configure(config);
        LOG.event(Logger.Level.INFO, "a configuration is in force")
                .with("configNumber", config.number())
                .write();
    }

    private static void onStreamFailed(Throwable e) {
        LOG.event(Logger.Level.ERROR, "control plane stream failed; its updates no longer reach the dispatcher")
                .cause(e)
                .write();
    }
}
