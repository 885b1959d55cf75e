package org.endivehold.bench.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.endivehold.config.Configuration;
import org.endivehold.config.Upstream;
import org.endivehold.misc.UpstreamName;
import org.endivehold.standin.engine.EngineParameters;
import org.endivehold.standin.engine.EngineStandin;
import org.endivehold.standin.hosts.HostsStandin;
import org.endivehold.standin.http.HttpStandin;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.standin.plain.PlainParameters;
import org.endivehold.standin.plain.PlainStandin;
import org.endivehold.standin.store.StoreStandin;

/** The stand-ins of one fleet: store, host list, and one upstream per configured one; all write to one log. */
public final class StandinSet {
    private static final long PLAIN_COLD_MILLIS = 5_000;

    private final Vertx vertx;
    private final StandinLog log = new StandinLog();
    private final StoreStandin store = new StoreStandin(0, log);
    private final HostsStandin hosts = new HostsStandin(0, log);
    private final Map<UpstreamName, EngineStandin> engines = new TreeMap<>();
    private final Map<UpstreamName, PlainStandin> plains = new TreeMap<>();

    StandinSet(Vertx vertx, Configuration configuration, double speed) {
        this.vertx = vertx;
        for (Upstream upstream : configuration.upstreams().values()) {
            if (upstream.kind() == Upstream.Kind.ENGINE) {
                engines.put(upstream.name(), new EngineStandin(0, parameters(upstream, speed), log));
            } else {
                plains.put(upstream.name(), new PlainStandin(0, parameters(upstream), log));
            }
        }
    }

    Future<Void> start() {
        List<HttpStandin<?>> all = new ArrayList<>(engines.values());
        all.addAll(plains.values());
        all.add(store);
        all.add(hosts);
        return Future.all(all.stream().map(vertx::deployVerticle).toList()).mapEmpty();
    }

    /** Replaces the addresses and ports of all upstreams by those of their stand-ins. */
    Configuration addressed(Configuration configuration) {
        configuration.upstreams().replaceAll((name, upstream) -> Upstream.Builder.from(upstream)
                .address(HttpStandin.ADDRESS)
                .port(port(name))
                .build());
        return configuration;
    }

    private int port(UpstreamName name) {
        return engines.containsKey(name)
                ? engines.get(name).port()
                : plains.get(name).port();
    }

    private static EngineParameters parameters(Upstream upstream, double speed) {
        return EngineParameters.builder(
                        upstream.name().value(),
                        upstream.zone().value(),
                        upstream.versions().iterator().next().value())
                .versions(upstream.versions())
                .slots(upstream.slots(), upstream.coldSlots())
                .memory(upstream.memoryTokens())
                .prefill((double) upstream.prefillTokensPerSecond())
                .checksFencing(upstream.checksFencing())
                .speed(speed)
                .build();
    }

    private static PlainParameters parameters(Upstream upstream) {
        return new PlainParameters(
                upstream.name(), upstream.zone(), upstream.slots(), upstream.coldSlots(), PLAIN_COLD_MILLIS);
    }

    /**
     * Returns what all stand-ins did.
     *
     * @return the log
     */
    public StandinLog log() {
        return log;
    }

    /**
     * Returns the key-value service.
     *
     * @return the stand-in
     */
    public StoreStandin store() {
        return store;
    }

    /**
     * Returns the host list.
     *
     * @return the stand-in
     */
    public HostsStandin hosts() {
        return hosts;
    }

    /**
     * Returns the engines.
     *
     * @return stand-ins by name
     */
    public Map<UpstreamName, EngineStandin> engines() {
        return engines;
    }

    /**
     * Returns the plain services.
     *
     * @return stand-ins by name
     */
    public Map<UpstreamName, PlainStandin> plains() {
        return plains;
    }
}
