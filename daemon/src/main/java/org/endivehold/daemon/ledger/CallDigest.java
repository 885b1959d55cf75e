package org.endivehold.daemon.ledger;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;
import org.endivehold.daemon.request.PlainRequest;

/** Computes the SHA-256 digests by which the ledger identifies calls and claims. */
final class CallDigest {
    private CallDigest() {}

    /** Returns the digest of route, method, path and body, each prefixed with its length. */
    static String of(PlainRequest request) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        add(digest, utf8(request.route().name().value()));
        add(digest, utf8(request.call().method()));
        add(digest, utf8(request.call().path()));
        add(digest, request.call().body());
        return Hex.encodeHexString(digest.digest());
    }

    /** Returns the digest of a list of strings, each prefixed with its length. */
    static String of(String... fields) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        for (String field : fields) {
            add(digest, utf8(field));
        }
        return Hex.encodeHexString(digest.digest());
    }

    private static void add(MessageDigest digest, byte[] bytes) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        digest.update(bytes);
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
