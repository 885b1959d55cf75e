package org.endivehold.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Vertx;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;
import org.endivehold.standin.engine.EngineParameters;
import org.endivehold.standin.engine.EngineStandin;
import org.endivehold.standin.http.HttpStandin;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.standin.plain.PlainParameters;
import org.endivehold.standin.plain.PlainStandin;
import org.endivehold.standin.store.StoreStandin;
import org.jboss.logging.Logger;

/** A command of {@link StandinTool} that starts one stand-in, which runs until the process ends. */
public abstract class StandinCommand implements Runnable {
    private static final Logger log = Logger.getLogger(StandinCommand.class);
    private static final int EXIT_FAILED = 1;

    @Option(
            name = {"--port"},
            description = "TCP port; any free one if not given")
    int port;

    abstract HttpStandin<?> createStandin(StandinLog events);

    @Override
    public void run() {
        HttpStandin<?> standin = createStandin(new StandinLog());
        Vertx.vertx()
                .deployVerticle(standin)
                .onSuccess(id -> LogEvent.of("standin-started")
                        .with("kind", standin.getClass().getSimpleName())
                        .with("address", HttpStandin.ADDRESS)
                        .with("port", standin.port())
                        .info(log))
                .onFailure(failure -> {
                    LogEvent.of("standin-failed")
                            .with("reason", failure.getMessage())
                            .warn(log);
                    System.exit(EXIT_FAILED);
                });
    }

    /** Starts a stand-in engine. */
    @Command(name = "engine", description = "A model engine")
    public static final class EngineCommand extends StandinCommand {
        @Option(
                name = {"--name"},
                description = "Name of the upstream")
        String name = "engine-1";

        @Option(
                name = {"--zone"},
                description = "Availability zone")
        String zone = "zone-a";

        @Option(
                name = {"--version"},
                description = "Version that it has loaded")
        String version = "version-1";

        @Option(
                name = {"--slots"},
                description = "Streams at once when warm")
        int slots = 64;

        @Option(
                name = {"--cold-slots"},
                description = "Streams at once in cold start")
        int coldSlots = 4;

        @Option(
                name = {"--memory"},
                description = "KV memory in tokens")
        long memory = 480_000;

        @Option(
                name = {"--prefill"},
                description = "Prefill rate in tokens per second")
        double prefill = 20_000;

        @Option(
                name = {"--speed"},
                description = "Factor that speeds the engine up")
        double speed = 1;

        @Option(
                name = {"--ignore-fencing"},
                description = "Carry out orders whatever their epoch")
        boolean ignoreFencing;

        @Override
        HttpStandin<?> createStandin(StandinLog events) {
            EngineParameters parameters = EngineParameters.builder(name, zone, version)
                    .slots(slots, coldSlots)
                    .memory(memory)
                    .prefill(prefill)
                    .checksFencing(!ignoreFencing)
                    .speed(speed)
                    .build();
            return new EngineStandin(port, parameters, events);
        }
    }

    /** Starts a stand-in for a plain service. */
    @Command(name = "service", description = "A plain service")
    public static final class ServiceCommand extends StandinCommand {
        private static final long COLD_MILLIS = 5_000;

        @Option(
                name = {"--name"},
                description = "Name of the upstream")
        String name = "service-1";

        @Option(
                name = {"--zone"},
                description = "Availability zone")
        String zone = "zone-a";

        @Option(
                name = {"--slots"},
                description = "Calls at once when warm")
        int slots = 64;

        @Option(
                name = {"--cold-slots"},
                description = "Calls at once in cold start")
        int coldSlots = 8;

        @Override
        HttpStandin<?> createStandin(StandinLog events) {
            PlainParameters parameters =
                    new PlainParameters(new UpstreamName(name), new ZoneName(zone), slots, coldSlots, COLD_MILLIS);
            return new PlainStandin(port, parameters, events);
        }
    }

    /** Starts a stand-in for the key-value service. */
    @Command(name = "store", description = "The platform's key-value service")
    public static final class StoreCommand extends StandinCommand {
        @Override
        HttpStandin<?> createStandin(StandinLog events) {
            return new StoreStandin(port, events);
        }
    }
}
