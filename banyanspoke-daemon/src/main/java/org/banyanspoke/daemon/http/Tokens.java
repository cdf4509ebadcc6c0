package org.banyanspoke.daemon.http;

import com.google.common.hash.Hashing;
import io.vertx.core.http.HttpServerRequest;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Locale;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;

/** Bearer tokens. Only their SHA-256 is known here. */
final class Tokens {
    private static final String SCHEME = "bearer ";

    private Tokens() {}

    /**
     * Returns the SHA-256 of the request's bearer token.
     *
     * @throws RefusedException with {@link ErrorKind#UNAUTHENTICATED} if there is none
     */
    static byte[] sha256(HttpServerRequest request) throws RefusedException {
        String header = request.getHeader("Authorization");
        if (header == null || !header.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
            throw new RefusedException(
                    ErrorKind.UNAUTHENTICATED, "header Authorization with a bearer token is missing", 0);
        }
        String token = header.substring(SCHEME.length()).trim();
        return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
    }

    /** Compares in a time that does not depend on the position of the first difference. */
    static boolean matches(byte[] sha256, String expectedHex) {
        return MessageDigest.isEqual(sha256, HexFormat.of().parseHex(expectedHex));
    }
}
