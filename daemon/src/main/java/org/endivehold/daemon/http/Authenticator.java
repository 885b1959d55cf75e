package org.endivehold.daemon.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.codec.digest.DigestUtils;
import org.endivehold.config.Configuration;
import org.endivehold.config.Customer;

/**
 * Finds the customer of an API key. Only hashes of the keys are kept. Candidates are looked up by the first digits of
 * the hash, and the full hash is compared in constant time. An attacker can learn nothing useful about a key from the
 * time of a look-up, since it depends on hashes, which the attacker cannot choose.
 */
final class Authenticator {
    private static final int INDEX_HEX_DIGITS = 8;
    private static final String SCHEME = "Bearer ";

    private final Map<String, List<Entry>> entries = new HashMap<>();

    @SuppressWarnings("ArrayRecordComponent")
    private record Entry(byte[] hash, Customer customer) {}

    Authenticator(Configuration configuration) {
        for (Customer customer : configuration.customers().values()) {
            for (String hash : customer.keyHashes()) {
                entries.computeIfAbsent(hash.substring(0, INDEX_HEX_DIGITS), key -> new ArrayList<>())
                        .add(new Entry(HexFormat.of().parseHex(hash), customer));
            }
        }
    }

    /**
     * Finds the customer for an Authorization header.
     *
     * @param header the value of the header, may be null
     * @return the customer whose API key it contains; empty if there is none
     */
    Optional<Customer> customer(String header) {
        if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        String key = header.substring(SCHEME.length()).trim();
        byte[] hash = DigestUtils.sha256(key.getBytes(StandardCharsets.UTF_8));
        String index = HexFormat.of().formatHex(hash).substring(0, INDEX_HEX_DIGITS);
        for (Entry entry : entries.getOrDefault(index, List.of())) {
            if (MessageDigest.isEqual(entry.hash(), hash)) {
                return Optional.of(entry.customer());
            }
        }
        return Optional.empty();
    }
}
