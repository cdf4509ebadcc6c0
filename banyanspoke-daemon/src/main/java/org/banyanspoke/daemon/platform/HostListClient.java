package org.banyanspoke.daemon.platform;

import io.reactivex.rxjava3.core.Single;
import java.util.List;

/** The platform's list of hosts. It lags behind the truth. */
@FunctionalInterface
public interface HostListClient {
    /** Reads the list; fails with {@link PlatformException}. */
    Single<List<ListedHost>> hosts();
}
