package org.endivehold.daemon.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.Optional;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/**
 * Signs and verifies reattach tokens with HMAC-SHA256. All daemons share one secret, so that each can verify the tokens
 * of the others. The text form is URL-safe: the token as JSON in Base64, a dot, the signature in Base64.
 */
final class ReattachTokenCodec {
    /** Minimum length of the secret, in bytes. */
    static final int MIN_SECRET_BYTES = 16;

    /** Maximum length of the text form, in characters. */
    private static final int MAX_TOKEN_LENGTH = 2_048;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final byte[] secret;

    /**
     * Creates a codec.
     *
     * @param secret the secret
     * @throws EndiveholdException of type {@code SETTINGS_INVALID} if it is too short
     */
    ReattachTokenCodec(byte[] secret) throws EndiveholdException {
        if (secret.length < MIN_SECRET_BYTES) {
            throw invalid("the secret has fewer than " + MIN_SECRET_BYTES + " bytes");
        }
        this.secret = secret.clone();
    }

    /**
     * Creates a codec with the secret from a file, without surrounding white space.
     *
     * @param file path of the file
     * @return the codec
     * @throws EndiveholdException of type {@code SETTINGS_INVALID} if the file cannot be read or the secret is too
     *     short
     */
    static ReattachTokenCodec fromFile(String file) throws EndiveholdException {
        try {
            String text = Files.readString(Path.of(file), StandardCharsets.UTF_8);
            return new ReattachTokenCodec(text.strip().getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw invalid("cannot read " + file).causedBy(e);
        }
    }

    private static EndiveholdException invalid(String reason) {
        return new EndiveholdException(ErrorType.SETTINGS_INVALID, "/callers/reattachSecretFile", reason);
    }

    /**
     * Signs a token.
     *
     * @param token the token
     * @return its signed text form
     */
    String sign(ReattachToken token) {
        try {
            byte[] body = JSON.writeValueAsBytes(token);
            return encode(body) + "." + encode(signature(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Verifies the signature of a token; does not check whether it has expired.
     *
     * @param text the text form
     * @return the token, or empty if it was not signed with this secret
     */
    Optional<ReattachToken> verify(String text) {
        int dot = text.indexOf('.');
        if (dot < 0 || text.length() > MAX_TOKEN_LENGTH) {
            return Optional.empty();
        }
        try {
            byte[] body = Base64.getUrlDecoder().decode(text.substring(0, dot));
            byte[] given = Base64.getUrlDecoder().decode(text.substring(dot + 1));
            if (!MessageDigest.isEqual(signature(body), given)) {
                return Optional.empty();
            }
            return Optional.of(JSON.readValue(body, ReattachToken.class));
        } catch (IllegalArgumentException | IOException e) {
            return Optional.empty();
        }
    }

    private byte[] signature(byte[] body) {
        return new HmacUtils(HmacAlgorithms.HMAC_SHA_256, secret).hmac(body);
    }

    private static String encode(byte[] bytes) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }
}
