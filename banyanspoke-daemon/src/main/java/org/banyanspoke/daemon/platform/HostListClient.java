package org.banyanspoke.daemon.platform;

import io.reactivex.rxjava3.core.Single;

/** The platform's list of hosts. It lags behind the truth. */
@FunctionalInterface
public interface HostListClient {
    /** Reads the list; fails with {@link PlatformException}. */
    Single<HostListRead> read();
}
