package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.membership.LeavingServers;
import org.banyanspoke.daemon.platform.HostListClient;
import org.banyanspoke.daemon.platform.ListedHost;

/** Reads which backend servers the platform reports as leaving. */
public final class HostListWatch {
    private final HostListClient hostList;
    private final LeavingServers servers;
    private final ConfigHolder config;
    private final Scheduler controlThread;

    /**
     * @param hostList the platform's list
     * @param servers receives the leaving servers
     * @param config the configuration
     * @param controlThread runs the results
     */
    public HostListWatch(
            HostListClient hostList, LeavingServers servers, ConfigHolder config, Scheduler controlThread) {
        this.hostList = hostList;
        this.servers = servers;
        this.config = config;
        this.controlThread = controlThread;
    }

    /** Reads the list once; fails with {@link org.banyanspoke.daemon.platform.PlatformException}. */
    public Completable read() {
        return hostList.hosts().observeOn(controlThread).doOnSuccess(this::take).ignoreElement();
    }

    private void take(List<ListedHost> hosts) {
        Set<ServerId> leaving = hosts.stream()
                .filter(host -> host.role() == ListedHost.Role.BACKEND && host.state() == ListedHost.State.LEAVING)
                .map(host -> new ServerId(host.id()))
                .collect(Collectors.toSet());
        servers.onListed(leaving, config.state().number());
    }
}
