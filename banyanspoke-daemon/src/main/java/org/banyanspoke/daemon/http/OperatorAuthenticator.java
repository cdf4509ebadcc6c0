package org.banyanspoke.daemon.http;

import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;

/** Decides which operator a request comes from. */
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
     * @throws RefusedException with {@link ErrorKind#UNAUTHENTICATED}
     */
    String authenticate(HttpServerRequest request) throws RefusedException {
        byte[] sha256 = Tokens.sha256(request);
        return tokensSha256.entrySet().stream()
                .filter(entry -> Tokens.matches(sha256, entry.getValue()))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElseThrow(() -> new RefusedException(ErrorKind.UNAUTHENTICATED, "the token is unknown", 0));
    }
}
