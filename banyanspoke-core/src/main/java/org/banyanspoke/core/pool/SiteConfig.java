package org.banyanspoke.core.pool;

import java.util.List;
import java.util.Optional;

/**
 * One version of the configuration.
 *
 * @param version rises with each change
 * @param routes all queues
 * @param maxBodyBytes largest body of a request
 */
public record SiteConfig(long version, List<QueueRoute> routes, int maxBodyBytes) {
    /** Returns the queue of a request: the one with the longest matching path prefix. */
    public Optional<QueueRoute> find(String hostName, String path) {
        QueueRoute best = null;
        for (QueueRoute route : routes) {
            boolean matches = route.hostName().equalsIgnoreCase(hostName) && path.startsWith(route.pathPrefix());
            if (matches
                    && (best == null
                            || route.pathPrefix().length() > best.pathPrefix().length())) {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }
}
