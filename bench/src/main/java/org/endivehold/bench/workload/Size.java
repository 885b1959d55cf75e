package org.endivehold.bench.workload;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationReader;
import org.endivehold.error.EndiveholdException;

/** A site of the examples, with the names that its callers use. */
@SuppressWarnings("ImmutableEnumChecker")
public enum Size {
    /** Sixteen engines and three shift-record servers. */
    QUITO(
            "rota-drafts",
            "season-reviews",
            "/shifts/confirm",
            "/shifts/records",
            List.of("rota-office", "veterinary", "payroll"),
            6),
    /** Twenty-three engines and three member-portal servers. */
    FONDO(
            "claim-summaries",
            "history-reviews",
            "/benefits/pay",
            "/contributions/balance",
            List.of("claims-analysts", "member-services", "treasury"),
            8);

    private static final String KEY_PREFIX = "example-key-";

    private final String interactive;
    private final String deferrable;
    private final String oncePath;
    private final String queryPath;
    private final List<String> large;
    private final int daemons;

    Size(String interactive, String deferrable, String oncePath, String queryPath, List<String> large, int daemons) {
        this.interactive = interactive;
        this.deferrable = deferrable;
        this.oncePath = oncePath;
        this.queryPath = queryPath;
        this.large = large;
        this.daemons = daemons;
    }

    /**
     * Finds a size.
     *
     * @param word the word on the command line
     * @return the size, if there is one
     */
    public static Optional<Size> of(String word) {
        for (Size size : values()) {
            if (size.word().equals(word)) {
                return Optional.of(size);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the word on the command line.
     *
     * @return the name in lower case
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Reads the example.
     *
     * @param examples folder of the examples
     * @return its configuration
     * @throws EndiveholdException if it is missing or has faults
     */
    public Configuration configuration(Path examples) throws EndiveholdException {
        return ConfigurationReader.readDirectory(examples.resolve(word())).orThrow();
    }

    /**
     * Returns the interactive generation route.
     *
     * @return its name
     */
    public String interactive() {
        return interactive;
    }

    /**
     * Returns the deferrable generation route.
     *
     * @return its name
     */
    public String deferrable() {
        return deferrable;
    }

    /**
     * Returns the non-idempotent plain route.
     *
     * @return its path
     */
    public String oncePath() {
        return oncePath;
    }

    /**
     * Returns the idempotent plain route.
     *
     * @return its path
     */
    public String queryPath() {
        return queryPath;
    }

    /**
     * Returns the customers that send most of the requests.
     *
     * @return their names
     */
    public List<String> large() {
        return large;
    }

    /**
     * Returns the number of entry hosts.
     *
     * @return a count
     */
    public int daemons() {
        return daemons;
    }

    /**
     * Returns the API key of a customer of the examples.
     *
     * @param customer its name
     * @return the key
     */
    public static String key(String customer) {
        return KEY_PREFIX + customer;
    }
}
