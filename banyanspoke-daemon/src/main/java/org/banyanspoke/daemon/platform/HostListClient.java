package org.banyanspoke.daemon.platform;

import io.reactivex.rxjava3.core.Single;

/** Client of the host list service of the platform. The list is eventually consistent. */
@FunctionalInterface
public interface HostListClient {
    /** Reads the host list; fails with {@link PlatformException}. */
    Single<HostListRead> read();
}
