package org.banyanspoke.daemon.http;

import io.vertx.core.http.HttpServerRequest;
import java.util.function.Supplier;
import org.banyanspoke.api.config.TeamConfig;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.config.ConfigState;

/** Decides which team a request speaks for. */
final class TeamAuthenticator {
    /** A configuration usually arrives within seconds of the start. */
    private static final long NOT_CONFIGURED_RETRY_MILLIS = 1_000;

    private final Supplier<ConfigState> config;

    TeamAuthenticator(Supplier<ConfigState> config) {
        this.config = config;
    }

    /**
     * Checks the token of a request for a team.
     *
     * @param teamName the team in the path
     * @throws RefusedException with {@code NOT_CONFIGURED}, {@code UNAUTHENTICATED}, {@code FORBIDDEN} or {@code
     *     UNKNOWN_TEAM}
     */
    TeamId authenticate(HttpServerRequest request, String teamName) throws RefusedException {
        ConfigState present = config.get();
        byte[] sha256 = Tokens.sha256(request);
        if (present.number() == 0) {
            throw new RefusedException(
                    ErrorKind.NOT_CONFIGURED, "this host has no configuration yet", NOT_CONFIGURED_RETRY_MILLIS);
        }
        TeamConfig owner = present.teams().values().stream()
                .filter(team -> Tokens.matches(sha256, team.tokenSha256()))
                .findFirst()
                .orElseThrow(() -> new RefusedException(ErrorKind.UNAUTHENTICATED, "the token is unknown", 0));
        if (owner.id().value().equals(teamName)) {
            return owner.id();
        }
        boolean exists =
                present.teams().keySet().stream().anyMatch(id -> id.value().equals(teamName));
        if (exists) {
            throw new RefusedException(ErrorKind.FORBIDDEN, "the token is not that of team \"" + teamName + "\"", 0);
        }
        throw new RefusedException(ErrorKind.UNKNOWN_TEAM, "team \"" + teamName + "\" does not exist", 0);
    }
}
