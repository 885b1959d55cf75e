package org.endivehold.config;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.endivehold.config.ConfigurationFault.Reason;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;

/** Validates field ranges and the references between the objects of a configuration; collects every fault. */
final class ConfigurationChecker {
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern IPV4 =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1?\\d?\\d)");
    private static final Pattern IPV6 = Pattern.compile("[0-9A-Fa-f.]*:[0-9A-Fa-f.:]*");
    private static final int MAX_PORT = 65_535;
    /** Paths of the daemon's own API, which no plain route may take over. */
    private static final String RESERVED_PREFIX = "/v1/";

    private final Configuration configuration;
    private final Set<ObjectKey> declared;
    private final List<ConfigurationFault> faults;

    private ConfigurationChecker(
            Configuration configuration, Set<ObjectKey> declared, List<ConfigurationFault> faults) {
        this.configuration = configuration;
        this.declared = declared;
        this.faults = faults;
    }

    /**
     * Checks a configuration and adds each violation to a list.
     *
     * @param configuration the objects that could be read
     * @param declared keys of all objects in the input, including malformed ones, so that a malformed object is not
     *     reported a second time as a dangling reference
     * @param faults list that the faults are added to
     */
    static void check(Configuration configuration, Set<ObjectKey> declared, List<ConfigurationFault> faults) {
        ConfigurationChecker checker = new ConfigurationChecker(configuration, declared, faults);
        configuration.models().values().forEach(checker::checkModel);
        configuration.versions().values().forEach(checker::checkVersion);
        configuration.adapters().values().forEach(checker::checkAdapter);
        configuration.routes().values().forEach(checker::checkRoute);
        checker.checkPathPrefixesAreUnique();
        configuration.customers().values().forEach(checker::checkCustomer);
        checker.checkKeyHashesAreUnique();
        configuration.upstreams().values().forEach(checker::checkUpstream);
        checker.checkAddressesAreUnique();
    }

    private void checkModel(Model model) {
        ObjectKey key = key(ObjectKind.MODEL, model.name());
        checkRange(key, "maxContextTokens", model.maxContextTokens(), 1, Long.MAX_VALUE);
    }

    private void checkVersion(Version version) {
        ObjectKey key = key(ObjectKind.VERSION, version.name());
        checkReference(key, "model", ObjectKind.MODEL, version.model());
        checkRange(key, "weightBytes", version.weightBytes(), 1, Long.MAX_VALUE);
    }

    private void checkAdapter(Adapter adapter) {
        checkReference(key(ObjectKind.ADAPTER, adapter.name()), "version", ObjectKind.VERSION, adapter.version());
    }

    private void checkRoute(Route route) {
        ObjectKey key = key(ObjectKind.ROUTE, route.name());
        checkRange(key, "maxDeadlineMillis", route.maxDeadlineMillis(), 1, Route.LONGEST_DEADLINE_MILLIS);
        checkRange(key, "defaultDeadlineMillis", route.defaultDeadlineMillis(), 1, Route.LONGEST_DEADLINE_MILLIS);
        if (route.defaultDeadlineMillis() > route.maxDeadlineMillis()) {
            addFault(key, "defaultDeadlineMillis", Reason.CONTRADICTION, "exceeds maxDeadlineMillis");
        }
        if (route.kind() == Route.Kind.PLAIN) {
            checkPlainRoute(key, route);
        } else {
            checkGenerationRoute(key, route);
        }
    }

    private void checkGenerationRoute(ObjectKey key, Route route) {
        checkRange(key, "longPromptTokens", route.longPromptTokens(), 1, Long.MAX_VALUE);
        if (route.pathPrefix().isPresent()) {
            addFault(key, "pathPrefix", Reason.CONTRADICTION, "only a plain route has a path prefix");
        }
        if (!route.upstreams().isEmpty()) {
            addFault(
                    key,
                    "upstreams",
                    Reason.CONTRADICTION,
                    "a generation route selects its engines by version and cannot list upstreams");
        }
        if (!route.idempotent()) {
            addFault(key, "idempotent", Reason.CONTRADICTION, "only a plain route can be non-idempotent");
        }
        if (route.version().isEmpty()) {
            addFault(key, "version", Reason.MISSING, "a generation route needs a version");
            return;
        }
        VersionName version = route.version().get();
        checkReference(key, "version", ObjectKind.VERSION, version);
        if (configuration.versions().containsKey(version) && !isServed(version)) {
            addFault(key, "version", Reason.UNSERVED, "no engine serves the version " + version);
        }
        route.adapter().ifPresent(name -> {
            checkReference(key, "adapter", ObjectKind.ADAPTER, name);
            Adapter adapter = configuration.adapters().get(name);
            if (adapter != null && !adapter.version().equals(version)) {
                addFault(key, "adapter", Reason.CONTRADICTION, name + " belongs to version " + adapter.version());
            }
        });
    }

    private void checkPlainRoute(ObjectKey key, Route route) {
        if (route.version().isPresent()) {
            addFault(key, "version", Reason.CONTRADICTION, "only a generation route has a version");
        }
        if (route.adapter().isPresent()) {
            addFault(key, "adapter", Reason.CONTRADICTION, "only a generation route has an adapter");
        }
        if (route.pathPrefix().isEmpty()) {
            addFault(key, "pathPrefix", Reason.MISSING, "a plain route needs a path prefix");
        }
        route.pathPrefix().ifPresent(prefix -> {
            if (prefix.length() < 2 || !prefix.startsWith("/") || (prefix + "/").startsWith(RESERVED_PREFIX)) {
                addFault(
                        key,
                        "pathPrefix",
                        Reason.MALFORMED,
                        "expected a path such as /shifts that is not under /v1: " + prefix);
            }
        });
        if (route.upstreams().isEmpty()) {
            addFault(key, "upstreams", Reason.UNSERVED, "a plain route needs at least one upstream");
        }
        for (UpstreamName name : route.upstreams()) {
            checkReference(key, "upstreams", ObjectKind.UPSTREAM, name);
            Upstream upstream = configuration.upstreams().get(name);
            if (upstream != null && upstream.kind() != Upstream.Kind.PLAIN) {
                addFault(key, "upstreams", Reason.CONTRADICTION, name + " is an engine, not a plain service");
            }
        }
    }

    private boolean isServed(VersionName version) {
        return configuration.upstreams().values().stream()
                .anyMatch(upstream -> upstream.kind() == Upstream.Kind.ENGINE
                        && upstream.versions().contains(version));
    }

    private void checkPathPrefixesAreUnique() {
        Map<String, ObjectKey> owners = new HashMap<>();
        for (Route route : configuration.routes().values()) {
            ObjectKey key = key(ObjectKind.ROUTE, route.name());
            route.pathPrefix().ifPresent(prefix -> checkUnique(owners, prefix, key, "pathPrefix"));
        }
    }

    private void checkCustomer(Customer customer) {
        ObjectKey key = key(ObjectKind.CUSTOMER, customer.name());
        checkRange(key, "weight", customer.weight(), 1, 1_000_000);
        checkRange(key, "maxConcurrent", customer.maxConcurrent(), 1, Integer.MAX_VALUE);
        checkRange(key, "maxQueued", customer.maxQueued(), 0, Integer.MAX_VALUE);
        if (customer.keyHashes().isEmpty()) {
            addFault(key, "keyHashes", Reason.MISSING, "a customer needs at least one key hash");
        }
        for (String hash : customer.keyHashes()) {
            if (!KEY_HASH.matcher(hash).matches()) {
                addFault(
                        key,
                        "keyHashes",
                        Reason.MALFORMED,
                        "expected a SHA-256 hash as 64 lower-case hexadecimal digits");
            }
        }
    }

    private void checkKeyHashesAreUnique() {
        Map<String, ObjectKey> owners = new HashMap<>();
        for (Customer customer : configuration.customers().values()) {
            ObjectKey key = key(ObjectKind.CUSTOMER, customer.name());
            customer.keyHashes().forEach(hash -> checkUnique(owners, hash, key, "keyHashes"));
        }
    }

    private void checkUpstream(Upstream upstream) {
        ObjectKey key = key(ObjectKind.UPSTREAM, upstream.name());
        checkReference(key, "zone", ObjectKind.AVAILABILITY_ZONE, upstream.zone());
        checkRange(key, "port", upstream.port(), 1, MAX_PORT);
        checkRange(key, "slots", upstream.slots(), 1, Integer.MAX_VALUE);
        checkRange(key, "coldSlots", upstream.coldSlots(), 1, Integer.MAX_VALUE);
        if (upstream.coldSlots() > upstream.slots()) {
            addFault(key, "coldSlots", Reason.CONTRADICTION, "exceeds slots");
        }
        if (!isAddress(upstream.address())) {
            addFault(key, "address", Reason.MALFORMED, "expected an IP address: " + upstream.address());
        }
        for (VersionName version : upstream.versions()) {
            checkReference(key, "versions", ObjectKind.VERSION, version);
        }
        if (upstream.kind() == Upstream.Kind.PLAIN) {
            checkPlainUpstream(key, upstream);
        } else {
            checkRange(key, "memoryTokens", upstream.memoryTokens(), 1, Long.MAX_VALUE);
            checkRange(key, "prefillTokensPerSecond", upstream.prefillTokensPerSecond(), 1, Long.MAX_VALUE);
            if (upstream.versions().isEmpty()) {
                addFault(key, "versions", Reason.MISSING, "an engine needs at least one version");
            }
        }
    }

    private void checkPlainUpstream(ObjectKey key, Upstream upstream) {
        checkRange(key, "memoryTokens", upstream.memoryTokens(), 0, 0);
        checkRange(key, "prefillTokensPerSecond", upstream.prefillTokensPerSecond(), 0, 0);
        if (!upstream.versions().isEmpty()) {
            addFault(key, "versions", Reason.CONTRADICTION, "a plain service cannot have versions");
        }
    }

    private void checkAddressesAreUnique() {
        Map<String, ObjectKey> owners = new HashMap<>();
        for (Upstream upstream : configuration.upstreams().values()) {
            ObjectKey key = key(ObjectKind.UPSTREAM, upstream.name());
            checkUnique(owners, upstream.address() + " port " + upstream.port(), key, "port");
        }
    }

    private void checkUnique(Map<String, ObjectKey> owners, String value, ObjectKey key, String field) {
        ObjectKey owner = owners.putIfAbsent(value, key);
        if (owner != null) {
            addFault(key, field, Reason.DUPLICATE, value + " belongs to " + owner + " already");
        }
    }

    private void checkReference(ObjectKey from, String field, ObjectKind kind, Object name) {
        if (!declared.contains(key(kind, name))) {
            addFault(from, field, Reason.DANGLING, "no " + kind + " is called " + name);
        }
    }

    private void checkRange(ObjectKey key, String field, long value, long min, long max) {
        if (value < min || value > max) {
            String bounds = max == Long.MAX_VALUE ? "at least " + min : "between " + min + " and " + max;
            addFault(key, field, Reason.OUT_OF_RANGE, value + " is not " + bounds);
        }
    }

    private void addFault(ObjectKey key, String field, Reason reason, String detail) {
        faults.add(new ConfigurationFault(key.toString(), field, reason, detail));
    }

    private static ObjectKey key(ObjectKind kind, Object name) {
        return new ObjectKey(kind, name.toString());
    }

    private static boolean isAddress(String text) {
        if (IPV4.matcher(text).matches()) {
            return true;
        }
        if (!IPV6.matcher(text).matches()) {
            return false;
        }
        try {
            return InetAddress.getByName(text) != null;
        } catch (UnknownHostException e) {
            return false;
        }
    }
}
