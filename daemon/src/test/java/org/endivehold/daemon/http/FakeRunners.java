package org.endivehold.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.codec.digest.DigestUtils;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationListener;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Customer;
import org.endivehold.config.Model;
import org.endivehold.config.RequestClass;
import org.endivehold.config.Route;
import org.endivehold.config.Version;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.request.AnswerSink;
import org.endivehold.daemon.request.GenerationCall;
import org.endivehold.daemon.request.GenerationRunner;
import org.endivehold.daemon.request.PlainRequest;
import org.endivehold.daemon.request.PlainRunner;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.CustomerName;
import org.endivehold.misc.ModelName;
import org.endivehold.misc.Revision;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.VersionName;
import org.endivehold.upstream.PlainAnswer;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamPiece;

/** Fakes of the services that {@link CallerHttpServer} depends on. */
final class FakeRunners {
    static final String KEY = "key-of-acme";

    private FakeRunners() {}

    /** A service that starts and stops without doing anything. */
    abstract static class FakeService implements Service {
        private final String name;

        FakeService(String name) {
            this.name = name;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public Future<Void> start(Kernel kernel) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> stop() {
            return Future.succeededFuture();
        }
    }

    /** Answers each call with two pieces; if {@code holdOpen} is set, sends only the first and leaves the call open. */
    static final class Generation extends FakeService implements GenerationRunner {
        final List<GenerationCall> calls = new ArrayList<>();
        final Promise<Void> cancelled = Promise.promise();
        final Promise<AnswerSink> held = Promise.promise();
        boolean holdOpen;

        Generation() {
            super(GenerationRunner.NAME);
        }

        @Override
        public Runnable submit(GenerationCall call, AnswerSink sink) {
            calls.add(call);
            sink.reattachToken("token-1");
            sink.piece(new StreamPiece(0, 2, "one two "));
            if (holdOpen) {
                held.complete(sink);
                return cancelled::tryComplete;
            }
            finish(sink);
            return () -> {};
        }

        static void finish(AnswerSink sink) {
            sink.piece(new StreamPiece(2, 1, "three"));
            sink.end(new StreamEnd("stop", 4, 3));
        }

        @Override
        public Runnable reattach(String token, long offset, AnswerSink sink) {
            if (!token.equals("token-1")) {
                sink.fail(new EndiveholdException(ErrorType.STREAM_UNKNOWN, token), 0);
                return () -> {};
            }
            sink.piece(new StreamPiece(offset, 1, "rest from " + offset));
            sink.end(new StreamEnd("stop", 4, offset + 1));
            return () -> {};
        }
    }

    /** Answers each plain call with its path and idempotency key. */
    static final class Plain extends FakeService implements PlainRunner {
        /** The answer to all calls, if one is set. */
        Optional<PlainAnswer> answer = Optional.empty();

        Plain() {
            super(PlainRunner.NAME);
        }

        @Override
        public Future<PlainAnswer> submit(PlainRequest request) {
            if (answer.isPresent()) {
                return Future.succeededFuture(answer.get());
            }
            String text = request.call().path() + " " + request.idempotencyKey().orElse("-");
            return Future.succeededFuture(new PlainAnswer(
                    201,
                    Map.of("Content-Type", "text/plain", "Set-Cookie", "secret"),
                    text.getBytes(StandardCharsets.UTF_8)));
        }
    }

    /** Serves a configuration with one model, one generation route, two plain routes and one customer, or none. */
    static final class Config extends FakeService implements ActiveConfiguration {
        private final Optional<ConfigurationSnapshot> snapshot;

        Config(boolean present) {
            super(ActiveConfiguration.NAME);
            snapshot = present
                    ? Optional.of(new ConfigurationSnapshot(new Revision(1), "digest", configuration()))
                    : Optional.empty();
        }

        @Override
        public Optional<ConfigurationSnapshot> current() {
            return snapshot;
        }

        @Override
        public void listen(ConfigurationListener listener) {
            snapshot.ifPresent(listener::activated);
        }
    }

    static Configuration configuration() {
        Configuration c = new Configuration(
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>(),
                new TreeMap<>());
        Model model = new Model(new ModelName("rota"), 1_000_000);
        Version version = new Version(new VersionName("rota-1"), model.name(), 1);
        c.models().put(model.name(), model);
        c.versions().put(version.name(), version);
        String hash = DigestUtils.sha256Hex(KEY);
        Customer acme = new Customer(new CustomerName("acme"), List.of(hash), 1, 10, 10);
        c.customers().put(acme.name(), acme);
        add(c, route("drafts", Route.Kind.GENERATION, Optional.of(version.name()), Optional.empty(), true));
        add(c, route("shifts", Route.Kind.PLAIN, Optional.empty(), Optional.of("/shifts"), false));
        add(c, route("records", Route.Kind.PLAIN, Optional.empty(), Optional.of("/shifts/records"), true));
        return c;
    }

    private static void add(Configuration c, Route route) {
        c.routes().put(route.name(), route);
    }

    private static Route route(
            String name, Route.Kind kind, Optional<VersionName> version, Optional<String> path, boolean idempotent) {
        return new Route(
                new RouteName(name),
                kind,
                version,
                Optional.empty(),
                path,
                List.of(),
                idempotent,
                RequestClass.INTERACTIVE,
                10_000,
                60_000,
                100_000);
    }
}
