package org.banyanspoke.daemon.http;

import com.google.common.hash.Hashing;
import io.vertx.core.http.HttpServerRequest;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Locale;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;

/** Extracts and compares bearer tokens. Hosts are configured only with the SHA-256 hashes of the tokens. */
final class BearerTokens {
    private static final String SCHEME = "bearer ";

    private BearerTokens() {}

    /**
     * Returns the SHA-256 of the request's bearer token.
     *
     * @throws RefusedException with {@link ErrorKind#UNAUTHENTICATED} if the request has none
     */
    static byte[] sha256(HttpServerRequest request) throws RefusedException {
        String header = request.getHeader("Authorization");
        if (header == null || !header.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
            throw new RefusedException(
                    ErrorKind.UNAUTHENTICATED, "the Authorization header is missing or has no bearer token", 0);
        }
        String token = header.substring(SCHEME.length()).trim();
        return Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
    }

    /** Compares the hashes in constant time, to prevent timing attacks. */
    static boolean matches(byte[] sha256, String expectedHex) {
        return MessageDigest.isEqual(sha256, HexFormat.of().parseHex(expectedHex));
    }
}
