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
 * Finds the customer of an API key. Only hashes are kept. A key is looked up by the first bytes of its hash, and the
 * whole hash is compared in constant time; the time of a look-up so tells nothing about a key that an attacker could
 * use, since the attacker cannot choose hashes.
 */
final class Authenticator {
    private static final int INDEX_CHARACTERS = 8;
    private static final String SCHEME = "Bearer ";

    private final Map<String, List<Entry>> entries = new HashMap<>();

    @SuppressWarnings("ArrayRecordComponent")
    private record Entry(byte[] hash, Customer customer) {}

    Authenticator(Configuration configuration) {
        for (Customer customer : configuration.customers().values()) {
            for (String hash : customer.keyHashes()) {
                entries.computeIfAbsent(hash.substring(0, INDEX_CHARACTERS), key -> new ArrayList<>())
                        .add(new Entry(HexFormat.of().parseHex(hash), customer));
            }
        }
    }

    /**
     * Finds a customer.
     *
     * @param header the Authorization header, may be null
     * @return the customer whose key it carries
     */
    Optional<Customer> customer(String header) {
        if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        String key = header.substring(SCHEME.length()).trim();
        byte[] hash = DigestUtils.sha256(key.getBytes(StandardCharsets.UTF_8));
        String index = HexFormat.of().formatHex(hash).substring(0, INDEX_CHARACTERS);
        for (Entry entry : entries.getOrDefault(index, List.of())) {
            if (MessageDigest.isEqual(entry.hash(), hash)) {
                return Optional.of(entry.customer());
            }
        }
        return Optional.empty();
    }
}
