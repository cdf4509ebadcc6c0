package org.banyanspoke.core.pool;

import java.util.List;
import java.util.Optional;

/**
 * One version of the site configuration.
 *
 * @param version version number, which increases with each change
 * @param routes routes to all queues
 * @param maxBodyBytes maximum size of a request body
 */
public record SiteConfig(long version, List<QueueRoute> routes, int maxBodyBytes) {
    /** Returns the route for a request: the one with the longest matching path prefix. */
    public Optional<QueueRoute> findRoute(String hostName, String path) {
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
