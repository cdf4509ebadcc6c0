package org.banyanspoke.daemon.http;

import io.vertx.core.http.HttpServerRequest;
import java.util.function.Supplier;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.config.ConfigState;

/** Authenticates teams by their bearer tokens. */
final class TeamAuthenticator {
    /** The first configuration usually arrives within seconds of the start. */
    private static final long NOT_CONFIGURED_RETRY_AFTER_MILLIS = 1_000;

    private final Supplier<ConfigState> config;

    TeamAuthenticator(Supplier<ConfigState> config) {
        this.config = config;
    }

    /**
     * Checks that the bearer token of a request belongs to the team in its path.
     *
     * @param teamName team id in the request path
     * @throws RefusedException with {@code NOT_CONFIGURED}, {@code UNAUTHENTICATED}, {@code FORBIDDEN} or {@code
     *     UNKNOWN_TEAM}
     */
    TeamId authenticate(HttpServerRequest request, String teamName) throws RefusedException {
        ConfigState current = config.get();
        byte[] sha256 = BearerTokens.sha256(request);
        if (current.number() == 0) {
            throw new RefusedException(
                    ErrorKind.NOT_CONFIGURED, "this host has no configuration yet", NOT_CONFIGURED_RETRY_AFTER_MILLIS);
        }
        TeamConfig owner = current.teams().values().stream()
                .filter(team -> BearerTokens.matches(sha256, team.tokenSha256()))
                .findFirst()
                .orElseThrow(() -> new RefusedException(ErrorKind.UNAUTHENTICATED, "the bearer token is unknown", 0));
        if (owner.id().value().equals(teamName)) {
            return owner.id();
        }
        boolean exists =
                current.teams().keySet().stream().anyMatch(id -> id.value().equals(teamName));
        if (exists) {
            throw new RefusedException(
                    ErrorKind.FORBIDDEN, "the bearer token does not belong to team \"" + teamName + "\"", 0);
        }
        throw new RefusedException(ErrorKind.UNKNOWN_TEAM, "team \"" + teamName + "\" does not exist", 0);
    }
}
