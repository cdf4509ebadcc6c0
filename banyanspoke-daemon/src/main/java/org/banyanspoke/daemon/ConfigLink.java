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
 * Hands immutable snapshots of control state over from the control thread to the dispatch thread. Quota shares go their own
 * way, because a lender must know when they are in force.
 */
final class ConfigLink implements Service {
    static final ServiceName<ConfigLink> NAME = new ServiceName<>("config-link", ConfigLink.class);

    private static final EventLog LOG = EventLog.of(ConfigLink.class);

    private final ControlPlane control;
    private final DispatchService dispatch;
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    ConfigLink(ControlPlane control, DispatchService dispatch) {
        this.control = control;
        this.dispatch = dispatch;
    }

    @Override
    public void start(Kernel kernel) {
        subscriptions.add(control.configs().subscribe(this::onConfig, ConfigLink::onStreamFailed));
        subscriptions.add(control.leavingServers()
                .subscribe(
                        leaving -> dispatch.run(dispatcher -> dispatcher.setLeaving(leaving)),
                        ConfigLink::onStreamFailed));
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
        LOG.event(Logger.Level.ERROR, "a stream of the control plane has ended")
                .cause(e)
                .write();
    }
}
