package org.endivehold.relay.crash;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * What several requests may have in common, and what may crash the upstreams that serve them.
 *
 * @param kind what it is
 * @param id the same in all requests that have it
 */
public record RequestTrait(Kind kind, String id) {
    /** What requests may have in common. */
    public enum Kind {
        /** A part of the prompt that other requests may share, such as a system prompt or a document. */
        PROMPT_PART("part"),
        /** Everything: the same request of the same customer, sent again. */
        WHOLE_REQUEST("request");

        private final String label;

        Kind(String label) {
            this.label = label;
        }
    }

    /** Longest id that is kept as it is, in characters; callers may send longer ones. */
    private static final int MAX_ID_LENGTH = 64;
    /** Bytes of a digest that are kept: too many to find a second request with the same ones. */
    private static final int DIGEST_BYTES = 16;

    private static final String DIGEST_ALGORITHM = "SHA-256";
    private static final char KIND_SEPARATOR = ':';
    private static final String SIZE_SEPARATOR = "-";

    /** Replaces a long id by its hash, so that a trait takes little memory whatever callers send. */
    public RequestTrait {
        if (id.length() > MAX_ID_LENGTH) {
            long[] hash = MurmurHash3.hash128x64(id.getBytes(StandardCharsets.UTF_8));
            id = Long.toHexString(hash[0]) + Long.toHexString(hash[1]);
        }
    }

    /** Returns the trait of all requests with a part in their prompts. */
    public static RequestTrait promptPart(String id) {
        return new RequestTrait(Kind.PROMPT_PART, id);
    }

    /**
     * Returns the trait of one request and its repeats: the size of its body, by which most others can be told from it
     * at once, and a cryptographic digest, so that no caller can send a request that is taken for another one's.
     *
     * @param customer name of the customer; empty if callers need no key
     * @param method HTTP method
     * @param target path and query
     * @param body the body
     */
    public static RequestTrait wholeRequest(String customer, String method, String target, Buffer body) {
        MessageDigest digest = digest();
        for (String field : new String[] {customer, method, target}) {
            byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
            digest.update(Buffer.buffer().appendInt(bytes.length).getBytes());
            digest.update(bytes);
        }
        byte[] hash = digest.digest(body.getBytes());
        String id = body.length() + SIZE_SEPARATOR + HexFormat.of().formatHex(hash, 0, DIGEST_BYTES);
        return new RequestTrait(Kind.WHOLE_REQUEST, id);
    }

    /** Returns whether this is a whole request, not a part of a prompt. */
    public boolean isWholeRequest() {
        return kind == Kind.WHOLE_REQUEST;
    }

    /** Returns whether this is a whole request with a body of a number of bytes. */
    boolean isRequestOfSize(int bodyBytes) {
        return isWholeRequest() && id.startsWith(bodyBytes + SIZE_SEPARATOR);
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(DIGEST_ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + DIGEST_ALGORITHM, e);
        }
    }

    /** Parses what {@link #toString} returns; the id of a part may hold any characters. */
    public static RequestTrait parse(String text) {
        int separator = text.indexOf(KIND_SEPARATOR);
        String label = separator < 0 ? text : text.substring(0, separator);
        for (Kind kind : Kind.values()) {
            if (kind.label.equals(label) && separator >= 0) {
                return new RequestTrait(kind, text.substring(separator + 1));
            }
        }
        throw new IllegalArgumentException("not a trait of a request: " + text);
    }

    @Override
    public String toString() {
        return kind.label + KIND_SEPARATOR + id;
    }
}
