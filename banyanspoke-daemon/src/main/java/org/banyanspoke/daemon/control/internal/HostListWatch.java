package org.banyanspoke.daemon.control.internal;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.Set;
import java.util.stream.Collectors;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.membership.LeavingServers;
import org.banyanspoke.daemon.platform.HostListClient;
import org.banyanspoke.daemon.platform.HostListRead;
import org.banyanspoke.daemon.platform.ListedHost;

/** Reads which backend servers the platform reports as leaving, as often as the byte budget allows. */
public final class HostListWatch {
    /** Request, head of the response and TCP/IP headers of one read on an open connection. */
    private static final long EXCHANGE_BYTES = 300;

    private final HostListClient hostList;
    private final ByteBudget budget;
    private final LeavingServers servers;
    private final ConfigHolder config;
    private final Scheduler controlThread;

    /**
     * @param hostList the platform's list
     * @param budget limits the reads
     * @param servers receives the leaving servers
     * @param config the configuration
     * @param controlThread runs the results
     */
    public HostListWatch(
            HostListClient hostList,
            ByteBudget budget,
            LeavingServers servers,
            ConfigHolder config,
            Scheduler controlThread) {
        this.hostList = hostList;
        this.budget = budget;
        this.servers = servers;
        this.config = config;
        this.controlThread = controlThread;
    }

    /**
     * Reads the list once unless the budget is used up; fails with {@link
     * org.banyanspoke.daemon.platform.PlatformException}.
     */
    public Completable readIfAffordable() {
        if (!budget.isPositive()) {
            return Completable.complete();
        }
        budget.spend(EXCHANGE_BYTES);
        return hostList.read().observeOn(controlThread).doOnSuccess(this::take).ignoreElement();
    }

    private void take(HostListRead read) {
        budget.spend(read.bodyBytes());
        Set<ServerId> leaving = read.hosts().stream()
                .filter(host -> host.role() == ListedHost.Role.BACKEND && host.state() == ListedHost.State.LEAVING)
                .map(host -> new ServerId(host.id()))
                .collect(Collectors.toSet());
        servers.onListed(leaving, config.state().number());
    }
}
