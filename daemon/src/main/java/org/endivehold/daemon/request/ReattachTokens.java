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
 * Signs reattach tokens with HMAC-SHA256. All daemons have the same secret, so each can verify what another signed. The
 * text form is URL-safe: the token as JSON in Base64, a dot, the signature in Base64.
 */
final class ReattachTokens {
    /** Shortest secret, in bytes. */
    static final int MIN_SECRET_BYTES = 16;

    private static final int MAX_TEXT = 2_048;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final byte[] secret;

    /**
     * Creates signer and verifier.
     *
     * @param secret the secret
     * @throws EndiveholdException of type {@code SETTINGS_INVALID} if it is too short
     */
    ReattachTokens(byte[] secret) throws EndiveholdException {
        if (secret.length < MIN_SECRET_BYTES) {
            throw invalid("the secret has fewer than " + MIN_SECRET_BYTES + " bytes");
        }
        this.secret = secret.clone();
    }

    /**
     * Reads the secret.
     *
     * @param file its file
     * @return signer and verifier
     * @throws EndiveholdException of type {@code SETTINGS_INVALID} if the file cannot be read or is too short
     */
    static ReattachTokens fromFile(String file) throws EndiveholdException {
        try {
            String text = Files.readString(Path.of(file), StandardCharsets.UTF_8);
            return new ReattachTokens(text.strip().getBytes(StandardCharsets.UTF_8));
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
     * @return its text
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
     * Verifies a token's signature.
     *
     * @param text its text
     * @return the token, or empty if no daemon with this secret signed it
     */
    Optional<ReattachToken> verify(String text) {
        int dot = text.indexOf('.');
        if (dot < 0 || text.length() > MAX_TEXT) {
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
