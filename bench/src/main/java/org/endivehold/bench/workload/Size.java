package org.endivehold.bench.workload;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationReader;
import org.endivehold.error.EndiveholdException;

/** An example site, with the routes, paths and customers that the workload uses. */
@SuppressWarnings("ImmutableEnumChecker")
public enum Size {
    /** Site with sixteen engines and three shift-record servers. */
    QUITO(
            "rota-drafts",
            "season-reviews",
            "/shifts/confirm",
            "/shifts/records",
            List.of("rota-office", "veterinary", "payroll"),
            6),
    /** Site with twenty-three engines and three member-portal servers. */
    FONDO(
            "claim-summaries",
            "history-reviews",
            "/benefits/pay",
            "/contributions/balance",
            List.of("claims-analysts", "member-services", "treasury"),
            8);

    private static final String KEY_PREFIX = "example-key-";

    private final String interactiveRoute;
    private final String deferrableRoute;
    private final String oncePath;
    private final String queryPath;
    private final List<String> largeCustomers;
    private final int daemons;

    Size(
            String interactiveRoute,
            String deferrableRoute,
            String oncePath,
            String queryPath,
            List<String> largeCustomers,
            int daemons) {
        this.interactiveRoute = interactiveRoute;
        this.deferrableRoute = deferrableRoute;
        this.oncePath = oncePath;
        this.queryPath = queryPath;
        this.largeCustomers = largeCustomers;
        this.daemons = daemons;
    }

    /**
     * Finds a site by its name on the command line.
     *
     * @param label the name, as from {@link #label}
     * @return the site; empty if there is none of this name
     */
    public static Optional<Size> of(String label) {
        for (Size size : values()) {
            if (size.label().equals(label)) {
                return Optional.of(size);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the name of the site on the command line and in reports.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Reads the example configuration of the site.
     *
     * @param examples directory of the example configurations
     * @return the configuration
     * @throws EndiveholdException if it is missing or invalid
     */
    public Configuration configuration(Path examples) throws EndiveholdException {
        return ConfigurationReader.readDirectory(examples.resolve(label())).orThrow();
    }

    /**
     * Returns the interactive generation route.
     *
     * @return name of the route
     */
    public String interactiveRoute() {
        return interactiveRoute;
    }

    /**
     * Returns the deferrable generation route.
     *
     * @return name of the route
     */
    public String deferrableRoute() {
        return deferrableRoute;
    }

    /**
     * Returns the non-idempotent plain route.
     *
     * @return path of the route
     */
    public String oncePath() {
        return oncePath;
    }

    /**
     * Returns the idempotent plain route.
     *
     * @return path of the route
     */
    public String queryPath() {
        return queryPath;
    }

    /**
     * Returns the customers that send most of the requests.
     *
     * @return names of the customers
     */
    public List<String> largeCustomers() {
        return largeCustomers;
    }

    /**
     * Returns the number of entry hosts, each of which runs one daemon.
     *
     * @return number of daemons
     */
    public int daemons() {
        return daemons;
    }

    /**
     * Returns the API key of a customer in the example configurations.
     *
     * @param customer name of the customer
     * @return the key
     */
    public static String apiKey(String customer) {
        return KEY_PREFIX + customer;
    }
}
