package org.endivehold.bench.fleet;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.endivehold.config.Configuration;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.UpstreamName;
import org.endivehold.standin.engine.EngineParameters;
import org.endivehold.standin.engine.EngineStandin;
import org.endivehold.standin.http.HttpStandin;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.standin.plain.PlainParameters;
import org.endivehold.standin.plain.PlainStandin;
import org.endivehold.standin.store.StoreStandin;

/** Stand-ins for the platform's key-value service and for every upstream of a configuration. */
public final class StandinSet {
    private static final long COLD_MILLIS = 30_000;
    private static final long RESTART_MILLIS = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final StandinLog log = new StandinLog();
    private final StoreStandin store = new StoreStandin(0, log);
    private final List<EngineStandin> engines = new ArrayList<>();
    private final List<PlainStandin> services = new ArrayList<>();
    private final double speed;
    private Configuration configuration;

    /**
     * Creates a set without starting the stand-ins.
     *
     * @param configuration configuration with the upstreams to replace
     * @param speed speed-up factor of the engines
     */
    StandinSet(Configuration configuration, double speed) {
        this.speed = speed;
        this.configuration = configuration;
    }

    /** Starts all stand-ins and replaces the addresses of the upstreams by theirs. */
    void start() throws EndiveholdException {
        deploy(store);
        TreeMap<UpstreamName, Upstream> upstreams = new TreeMap<>();
        for (Upstream upstream : configuration.upstreams().values()) {
            upstreams.put(upstream.name(), start(upstream));
        }
        configuration = new Configuration(
                configuration.models(),
                configuration.versions(),
                configuration.adapters(),
                configuration.routes(),
                configuration.customers(),
                configuration.zones(),
                upstreams);
    }

    /**
     * Returns the configuration with the addresses and prefill rates of the stand-ins.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns the log that all stand-ins share.
     *
     * @return the event log
     */
    public StandinLog log() {
        return log;
    }

    /**
     * Returns the stand-in for the key-value service.
     *
     * @return the store
     */
    public StoreStandin store() {
        return store;
    }

    /**
     * Returns the stand-ins for engines.
     *
     * @return the stand-ins, ordered by upstream name
     */
    public List<EngineStandin> engines() {
        return List.copyOf(engines);
    }

    /**
     * Returns the stand-ins for plain services.
     *
     * @return the stand-ins, ordered by upstream name
     */
    public List<PlainStandin> services() {
        return List.copyOf(services);
    }

    /**
     * Sums the memory in use on all engines.
     *
     * @return tokens
     * @throws EndiveholdException of type {@code INTERNAL} if an engine does not answer
     */
    public long usedTokens() throws EndiveholdException {
        long used = 0;
        for (EngineStandin engine : engines) {
            used += Waiting.on(engine.usedTokens());
        }
        return used;
    }

    void stop() throws EndiveholdException {
        Waiting.on(vertx.close());
    }

    private Upstream start(Upstream upstream) throws EndiveholdException {
        return switch (upstream.kind()) {
            case ENGINE -> {
                EngineStandin engine = new EngineStandin(0, parameters(upstream), log);
                engines.add(engine);
                deploy(engine);
                yield withAddress(upstream, engine.port());
            }
            case PLAIN -> {
                PlainParameters parameters = new PlainParameters(
                        upstream.name(), upstream.zone(), upstream.slots(), upstream.coldSlots(), (long)
                                (COLD_MILLIS / speed));
                PlainStandin service = new PlainStandin(0, parameters, log);
                services.add(service);
                deploy(service);
                yield withAddress(upstream, service.port());
            }
        };
    }

    private EngineParameters parameters(Upstream upstream) {
        return EngineParameters.builder(upstream.name().value(), upstream.zone().value(), "unused")
                .versions(upstream.versions())
                .slots(upstream.slots(), upstream.coldSlots())
                .memory(upstream.memoryTokens())
                .prefill((double) upstream.prefillTokensPerSecond())
                .cold(COLD_MILLIS, RESTART_MILLIS)
                .checksFencing(upstream.checksFencing())
                .speed(speed)
                .build();
    }

    /** Returns the upstream at a stand-in's address, with the prefill rate scaled to the speed of the stand-in. */
    private Upstream withAddress(Upstream upstream, int port) {
        return new Upstream(
                upstream.name(),
                upstream.kind(),
                upstream.zone(),
                HttpStandin.ADDRESS,
                port,
                upstream.state(),
                upstream.versions(),
                upstream.slots(),
                upstream.coldSlots(),
                upstream.memoryTokens(),
                (long) (upstream.prefillTokensPerSecond() * speed),
                upstream.checksFencing());
    }

    private void deploy(HttpStandin<?> standin) throws EndiveholdException {
        Waiting.on(vertx.deployVerticle(standin));
    }
}
