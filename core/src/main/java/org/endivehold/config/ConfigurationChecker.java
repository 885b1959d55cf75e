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

/** Checks the objects of a configuration against one another and collects every fault. */
final class ConfigurationChecker {
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern IPV4 =
            Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1?\\d?\\d)");
    private static final Pattern IPV6 = Pattern.compile("[0-9A-Fa-f.]*:[0-9A-Fa-f.:]*");
    private static final int MAX_PORT = 65_535;
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
     * Checks a configuration.
     *
     * @param configuration the objects that could be read
     * @param declared all names, also those of objects that are themselves malformed, so that one fault does not cause
     *     a dangling reference as well
     * @param faults takes what is found
     */
    static void check(Configuration configuration, Set<ObjectKey> declared, List<ConfigurationFault> faults) {
        ConfigurationChecker checker = new ConfigurationChecker(configuration, declared, faults);
        configuration.models().values().forEach(checker::model);
        configuration.versions().values().forEach(checker::version);
        configuration.adapters().values().forEach(checker::adapter);
        configuration.routes().values().forEach(checker::route);
        checker.pathPrefixes();
        configuration.customers().values().forEach(checker::customer);
        checker.keys();
        configuration.upstreams().values().forEach(checker::upstream);
        checker.addresses();
    }

    private void model(Model model) {
        ObjectKey key = key(ObjectKind.MODEL, model.name());
        range(key, "maxContextTokens", model.maxContextTokens(), 1, Long.MAX_VALUE);
    }

    private void version(Version version) {
        ObjectKey key = key(ObjectKind.VERSION, version.name());
        reference(key, "model", ObjectKind.MODEL, version.model());
        range(key, "weightBytes", version.weightBytes(), 1, Long.MAX_VALUE);
    }

    private void adapter(Adapter adapter) {
        reference(key(ObjectKind.ADAPTER, adapter.name()), "version", ObjectKind.VERSION, adapter.version());
    }

    private void route(Route route) {
        ObjectKey key = key(ObjectKind.ROUTE, route.name());
        range(key, "maxDeadlineMillis", route.maxDeadlineMillis(), 1, Route.LONGEST_DEADLINE_MILLIS);
        range(key, "defaultDeadlineMillis", route.defaultDeadlineMillis(), 1, Route.LONGEST_DEADLINE_MILLIS);
        if (route.defaultDeadlineMillis() > route.maxDeadlineMillis()) {
            fault(key, "defaultDeadlineMillis", Reason.CONTRADICTION, "exceeds maxDeadlineMillis");
        }
        if (route.kind() == Route.Kind.PLAIN) {
            plainRoute(key, route);
        } else {
            generationRoute(key, route);
        }
    }

    private void generationRoute(ObjectKey key, Route route) {
        range(key, "longPromptTokens", route.longPromptTokens(), 1, Long.MAX_VALUE);
        if (route.pathPrefix().isPresent()) {
            fault(key, "pathPrefix", Reason.CONTRADICTION, "only a plain route has a path prefix");
        }
        if (!route.upstreams().isEmpty()) {
            fault(key, "upstreams", Reason.CONTRADICTION, "a generation route finds its engines by version");
        }
        if (!route.idempotent()) {
            fault(key, "idempotent", Reason.CONTRADICTION, "only a plain route can be non-idempotent");
        }
        if (route.version().isEmpty()) {
            fault(key, "version", Reason.MISSING, "a generation route needs a version");
            return;
        }
        VersionName version = route.version().get();
        reference(key, "version", ObjectKind.VERSION, version);
        if (configuration.versions().containsKey(version) && !isServed(version)) {
            fault(key, "version", Reason.UNSERVED, "no engine serves the version " + version);
        }
        route.adapter().ifPresent(name -> {
            reference(key, "adapter", ObjectKind.ADAPTER, name);
            Adapter adapter = configuration.adapters().get(name);
            if (adapter != null && !adapter.version().equals(version)) {
                fault(key, "adapter", Reason.CONTRADICTION, name + " belongs to version " + adapter.version());
            }
        });
    }

    private void plainRoute(ObjectKey key, Route route) {
        if (route.version().isPresent()) {
            fault(key, "version", Reason.CONTRADICTION, "only a generation route has a version");
        }
        if (route.adapter().isPresent()) {
            fault(key, "adapter", Reason.CONTRADICTION, "only a generation route has an adapter");
        }
        if (route.pathPrefix().isEmpty()) {
            fault(key, "pathPrefix", Reason.MISSING, "a plain route needs a path prefix");
        }
        route.pathPrefix().ifPresent(prefix -> {
            if (prefix.length() < 2 || !prefix.startsWith("/") || (prefix + "/").startsWith(RESERVED_PREFIX)) {
                fault(key, "pathPrefix", Reason.MALFORMED, "expected a path such as /shifts outside of /v1: " + prefix);
            }
        });
        if (route.upstreams().isEmpty()) {
            fault(key, "upstreams", Reason.UNSERVED, "a plain route needs at least one upstream");
        }
        for (UpstreamName name : route.upstreams()) {
            reference(key, "upstreams", ObjectKind.UPSTREAM, name);
            Upstream upstream = configuration.upstreams().get(name);
            if (upstream != null && upstream.kind() != Upstream.Kind.PLAIN) {
                fault(key, "upstreams", Reason.CONTRADICTION, name + " is an engine, not a plain service");
            }
        }
    }

    private boolean isServed(VersionName version) {
        return configuration.upstreams().values().stream()
                .anyMatch(upstream -> upstream.kind() == Upstream.Kind.ENGINE
                        && upstream.versions().contains(version));
    }

    private void pathPrefixes() {
        Map<String, ObjectKey> owners = new HashMap<>();
        for (Route route : configuration.routes().values()) {
            ObjectKey key = key(ObjectKind.ROUTE, route.name());
            route.pathPrefix().ifPresent(prefix -> unique(owners, prefix, key, "pathPrefix"));
        }
    }

    private void customer(Customer customer) {
        ObjectKey key = key(ObjectKind.CUSTOMER, customer.name());
        range(key, "weight", customer.weight(), 1, 1_000_000);
        range(key, "maxConcurrent", customer.maxConcurrent(), 1, Integer.MAX_VALUE);
        range(key, "maxQueued", customer.maxQueued(), 0, Integer.MAX_VALUE);
        if (customer.keyHashes().isEmpty()) {
            fault(key, "keyHashes", Reason.MISSING, "a customer needs at least one key hash");
        }
        for (String hash : customer.keyHashes()) {
            if (!KEY_HASH.matcher(hash).matches()) {
                fault(key, "keyHashes", Reason.MALFORMED, "expected 64 lower-case hexadecimal digits of SHA-256");
            }
        }
    }

    private void keys() {
        Map<String, ObjectKey> owners = new HashMap<>();
        for (Customer customer : configuration.customers().values()) {
            ObjectKey key = key(ObjectKind.CUSTOMER, customer.name());
            customer.keyHashes().forEach(hash -> unique(owners, hash, key, "keyHashes"));
        }
    }

    private void upstream(Upstream upstream) {
        ObjectKey key = key(ObjectKind.UPSTREAM, upstream.name());
        reference(key, "zone", ObjectKind.AVAILABILITY_ZONE, upstream.zone());
        range(key, "port", upstream.port(), 1, MAX_PORT);
        range(key, "slots", upstream.slots(), 1, Integer.MAX_VALUE);
        range(key, "coldSlots", upstream.coldSlots(), 1, Integer.MAX_VALUE);
        if (upstream.coldSlots() > upstream.slots()) {
            fault(key, "coldSlots", Reason.CONTRADICTION, "exceeds slots");
        }
        if (!isAddress(upstream.address())) {
            fault(key, "address", Reason.MALFORMED, "expected an IP address: " + upstream.address());
        }
        for (VersionName version : upstream.versions()) {
            reference(key, "versions", ObjectKind.VERSION, version);
        }
        if (upstream.kind() == Upstream.Kind.PLAIN) {
            plainUpstream(key, upstream);
        } else {
            range(key, "memoryTokens", upstream.memoryTokens(), 1, Long.MAX_VALUE);
            range(key, "prefillTokensPerSecond", upstream.prefillTokensPerSecond(), 1, Long.MAX_VALUE);
            if (upstream.versions().isEmpty()) {
                fault(key, "versions", Reason.MISSING, "an engine needs at least one version");
            }
        }
    }

    private void plainUpstream(ObjectKey key, Upstream upstream) {
        range(key, "memoryTokens", upstream.memoryTokens(), 0, 0);
        range(key, "prefillTokensPerSecond", upstream.prefillTokensPerSecond(), 0, 0);
        if (!upstream.versions().isEmpty()) {
            fault(key, "versions", Reason.CONTRADICTION, "a plain service serves no version");
        }
    }

    private void addresses() {
        Map<String, ObjectKey> owners = new HashMap<>();
        for (Upstream upstream : configuration.upstreams().values()) {
            ObjectKey key = key(ObjectKind.UPSTREAM, upstream.name());
            unique(owners, upstream.address() + " port " + upstream.port(), key, "port");
        }
    }

    private void unique(Map<String, ObjectKey> owners, String value, ObjectKey key, String field) {
        ObjectKey owner = owners.putIfAbsent(value, key);
        if (owner != null) {
            fault(key, field, Reason.DUPLICATE, value + " belongs to " + owner + " already");
        }
    }

    private void reference(ObjectKey from, String field, ObjectKind kind, Object name) {
        if (!declared.contains(key(kind, name))) {
            fault(from, field, Reason.DANGLING, "no " + kind + " is called " + name);
        }
    }

    private void range(ObjectKey key, String field, long value, long least, long most) {
        if (value < least || value > most) {
            String bounds = most == Long.MAX_VALUE ? "at least " + least : "between " + least + " and " + most;
            fault(key, field, Reason.OUT_OF_RANGE, value + " is not " + bounds);
        }
    }

    private void fault(ObjectKey key, String field, Reason reason, String detail) {
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
