package org.banyanspoke.daemon.http;

import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;

/** Authenticates operators by their bearer tokens. */
final class OperatorAuthenticator {
    private final Map<String, String> tokensSha256;

    /**
     * @param tokensSha256 SHA-256 of each operator's token in hexadecimal, by operator name
     */
    OperatorAuthenticator(Map<String, String> tokensSha256) {
        this.tokensSha256 = Map.copyOf(tokensSha256);
    }

    /**
     * Returns the operator's name.
     *
     * @throws RefusedException with {@link ErrorKind#UNAUTHENTICATED} if the token is missing or unknown
     */
    String authenticate(HttpServerRequest request) throws RefusedException {
        byte[] sha256 = BearerTokens.sha256(request);
        return tokensSha256.entrySet().stream()
                .filter(entry -> BearerTokens.matches(sha256, entry.getValue()))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow(() -> new RefusedException(ErrorKind.UNAUTHENTICATED, "the bearer token is unknown", 0));
    }
}
