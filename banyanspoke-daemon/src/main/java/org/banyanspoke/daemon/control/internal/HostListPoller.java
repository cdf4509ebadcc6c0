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

/** Polls the platform's host list for leaving backend servers, within a byte rate limit. */
public final class HostListPoller {
    /** Request, response headers and TCP/IP headers of one read on an open connection. */
    private static final long EXCHANGE_BYTES = 300;

    private final HostListClient hostList;
    private final ByteRateLimiter rateLimiter;
    private final LeavingServers servers;
    private final ConfigHolder config;
    private final Scheduler controlThread;

    /**
     * @param hostList the platform's list
     * @param rateLimiter limits the bytes read
     * @param servers receives the leaving servers
     * @param config the configuration
     * @param controlThread processes the results
     */
    public HostListPoller(
            HostListClient hostList,
            ByteRateLimiter rateLimiter,
            LeavingServers servers,
            ConfigHolder config,
            Scheduler controlThread) {
        this.hostList = hostList;
        this.rateLimiter = rateLimiter;
        this.servers = servers;
        this.config = config;
        this.controlThread = controlThread;
    }

    /**
     * Reads the list once unless the byte balance is used up; fails with {@link
     * org.banyanspoke.daemon.platform.PlatformException}.
     */
    public Completable readIfWithinRate() {
        if (!rateLimiter.hasBudget()) {
            return Completable.complete();
        }
        rateLimiter.recordTransfer(EXCHANGE_BYTES);
        return hostList.read()
                .observeOn(controlThread)
                .doOnSuccess(this::onRead)
                .ignoreElement();
    }

    private void onRead(HostListRead read) {
        rateLimiter.recordTransfer(read.bodyBytes());
        Set<ServerId> leaving = read.hosts().stream()
                .filter(host -> host.role() == ListedHost.Role.BACKEND && host.state() == ListedHost.State.LEAVING)
                .map(host -> new ServerId(host.id()))
                .collect(Collectors.toSet());
        servers.onListed(leaving, config.state().number());
    }
}
