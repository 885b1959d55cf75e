package org.endivehold.daemon.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.TestContexts;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.ZoneName;
import org.endivehold.wire.Hello;
import org.endivehold.wire.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TcpPeerTransportTest {
    private static final long AWAIT_SECONDS = 20;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int MAX_TRIES = 200;
    private static final HostId A = new HostId("a");
    private static final HostId B = new HostId("b");

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<ErrorType> errors = new CopyOnWriteArrayList<>();
    private final List<TcpPeerTransport> started = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void requestsAreAnsweredInBothDirections() {
        TcpPeerTransport a = start("a", Optional.empty());
        TcpPeerTransport b = start("b", Optional.empty());
        handleWithEcho(a);
        handleWithEcho(b);
        connect(a, B, b);
        assertEquals(hello("a.hi"), request(a, B, "hi"));
        assertEquals(hello("b.ho"), request(b, A, "ho"));
        assertEquals(List.of(B), await(() -> Future.succeededFuture(a.connectedPeers())));
    }

    @Test
    void failuresAreTyped() {
        TcpPeerTransport a = start("a", Optional.empty());
        TcpPeerTransport b = start("b", Optional.empty());
        assertFails(ErrorType.PEER_UNREACHABLE, () -> a.request(B, hello("x"), TIMEOUT_MILLIS));
        connect(a, B, b);
        assertFails(ErrorType.PEER_PROTOCOL, () -> a.request(B, hello("x"), TIMEOUT_MILLIS));
        b.setHandler(
                Hello.class,
                (from, m) -> Future.failedFuture(new EndiveholdException(ErrorType.GRANT_FENCED, 1, 2, 3)));
        assertFails(ErrorType.GRANT_FENCED, () -> a.request(B, hello("x"), TIMEOUT_MILLIS));
        b.setHandler(Hello.class, (from, m) -> Promise.<Message>promise().future());
        assertFails(ErrorType.PEER_TIMEOUT, () -> a.request(B, hello("x"), 1));
        a.setAddress(B, "127.0.0.1", 1);
        assertFails(ErrorType.PEER_UNREACHABLE, () -> a.request(B, hello("x"), TIMEOUT_MILLIS));
    }

    @Test
    void malformedInputClosesOnlyItsOwnConnection() {
        TcpPeerTransport a = start("a", Optional.empty());
        TcpPeerTransport b = start("b", Optional.empty());
        handleWithEcho(b);
        connect(a, B, b);
        request(a, B, "before");
        Object[][] cases = {
            {"unknown version", new byte[] {0, 0, 0, 7, 9, 0, 1, 0, 0, 0, 0}, ErrorType.PEER_VERSION},
            {"frame too large", new byte[] {0, 1, 0, 0}, ErrorType.PEER_PROTOCOL},
            {"no hello", new byte[] {0, 0, 0, 8, 1, 0, 2, 0, 0, 0, 0, (byte) 0x80}, ErrorType.PEER_PROTOCOL},
            {"empty hello", new byte[] {0, 0, 0, 8, 1, 0, 1, 0, 0, 0, 0, (byte) 0x80}, ErrorType.PEER_PROTOCOL},
        };
        for (Object[] c : cases) {
            errors.clear();
            Promise<Void> closed = Promise.promise();
            await(() -> vertx.createNetClient().connect(b.port(), "127.0.0.1").compose(socket -> {
                socket.closeHandler(done -> closed.tryComplete());
                return socket.write(Buffer.buffer((byte[]) c[1]));
            }));
            await(closed::future);
            assertEquals(List.of(c[2]), errors, "" + c[0]);
            assertEquals(hello("a.after"), request(a, B, "after"), "" + c[0]);
        }
    }

    @Test
    void impostorsAreRefused() {
        TcpPeerTransport a = start("a", Optional.empty());
        TcpPeerTransport c = start("c", Optional.empty());
        handleWithEcho(c);
        connect(a, B, c);
        assertFails(ErrorType.PEER_UNREACHABLE, () -> a.request(B, hello("x"), TIMEOUT_MILLIS));
        assertEquals(List.of(ErrorType.PEER_PROTOCOL), errors);
    }

    @Test
    void aPeerThatStartsAgainIsReachedAtItsNewAddress() {
        TcpPeerTransport a = start("a", Optional.empty());
        TcpPeerTransport b = start("b", Optional.empty());
        handleWithEcho(b);
        connect(a, B, b);
        request(a, B, "one");
        await(b::stop);
        TcpPeerTransport restarted = start("b", Optional.empty());
        handleWithEcho(restarted);
        connect(a, B, restarted);
        assertEquals(hello("a.two"), requestUntilReachable(a, B, "two"));
    }

    /** The end of the old connection once delayed the first dial to the new address. */
    @Test
    void anAddressChangeUnderAnOpenConnectionDialsTheNewAddressAtOnce() {
        TcpPeerTransport a = start("a", Optional.empty());
        TcpPeerTransport before = start("b", Optional.empty());
        TcpPeerTransport after = start("b", Optional.empty());
        handleWithEcho(before);
        handleWithEcho(after);
        connect(a, B, before);
        request(a, B, "one");
        connect(a, B, after);
        assertEquals(hello("a.two"), request(a, B, "two"));
    }

    @Test
    void mutualTlsAdmitsOnlySignedPeers() throws Exception {
        TcpPeerTransport a = start("a", Optional.of(tls("a")));
        TcpPeerTransport b = start("b", Optional.of(tls("b")));
        TcpPeerTransport plain = start("c", Optional.empty());
        TcpPeerTransport untrusted = start("d", Optional.of(tls("stranger")));
        handleWithEcho(b);
        connect(a, B, b);
        connect(plain, B, b);
        connect(untrusted, B, b);
        assertEquals(hello("a.hi"), request(a, B, "hi"));
        assertThrows(CompletionException.class, () -> await(() -> plain.request(B, hello("x"), 2_000)));
        assertThrows(CompletionException.class, () -> await(() -> untrusted.request(B, hello("x"), 2_000)));
    }

    private static Settings.Tls tls(String name) throws Exception {
        return new Settings.Tls(pem(name + ".crt"), pem(name + ".key"), pem("authority.crt"));
    }

    private static String pem(String file) throws Exception {
        return Path.of(TcpPeerTransportTest.class.getResource(file).toURI()).toString();
    }

    private TcpPeerTransport start(String host, Optional<Settings.Tls> tls) {
        DaemonContext context = TestContexts.create(vertx, host, tls);
        context.errors().add((source, failure) -> errors.add(failure.type()));
        TcpPeerTransport transport = new TcpPeerTransport(context);
        await(() -> transport.start(new Kernel()));
        started.add(transport);
        return transport;
    }

    private static void handleWithEcho(TcpPeerTransport transport) {
        transport.setHandler(Hello.class, (from, m) -> Future.succeededFuture(hello(from + "." + m.zone())));
    }

    private static Hello hello(String text) {
        return new Hello(A, new Incarnation(1), new ZoneName(text), "127.0.0.1", 1);
    }

    private void connect(TcpPeerTransport from, HostId peer, TcpPeerTransport to) {
        await(() -> {
            from.setAddress(peer, "127.0.0.1", to.port());
            return Future.succeededFuture(true);
        });
    }

    private Message request(TcpPeerTransport from, HostId to, String text) {
        return await(() -> from.request(to, hello(text), TIMEOUT_MILLIS));
    }

    /** Repeats a request while it fails because the old connection breaks; the transport does not retry by itself. */
    private Message requestUntilReachable(TcpPeerTransport from, HostId to, String text) {
        for (int i = 0; i < MAX_TRIES; i++) {
            try {
                return request(from, to, text);
            } catch (CompletionException e) {
                assertEquals(
                        ErrorType.PEER_UNREACHABLE,
                        EndiveholdException.unwrap(e).type());
            }
        }
        throw new AssertionError("not reached in " + MAX_TRIES + " tries");
    }

    private void assertFails(ErrorType type, Supplier<Future<Message>> call) {
        CompletionException e = assertThrows(CompletionException.class, () -> await(call));
        assertEquals(type, EndiveholdException.unwrap(e).type());
        assertTrue(e.getMessage().length() > 0);
    }

    private <T> T await(Supplier<Future<T>> call) {
        Promise<T> promise = Promise.promise();
        vertx.runOnContext(ignored -> call.get().onComplete(promise));
        return promise.future()
                .toCompletionStage()
                .toCompletableFuture()
                .orTimeout(AWAIT_SECONDS, TimeUnit.SECONDS)
                .join();
    }
}
