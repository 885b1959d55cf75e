package org.endivehold.daemon.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.apache.commons.codec.digest.DigestUtils;

/** The operators' bearer token, compared by its hash and in constant time. */
final class OperatorToken {
    private static final String SCHEME = "Bearer ";

    private final byte[] hash;

    OperatorToken(String token) {
        hash = hash(token.strip());
    }

    /** Returns whether the value of an Authorization header, which may be null, contains the token. */
    boolean matches(String header) {
        return header != null
                && header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
                && MessageDigest.isEqual(
                        hash, hash(header.substring(SCHEME.length()).strip()));
    }

    private static byte[] hash(String token) {
        return DigestUtils.sha256(token.getBytes(StandardCharsets.UTF_8));
    }
}
