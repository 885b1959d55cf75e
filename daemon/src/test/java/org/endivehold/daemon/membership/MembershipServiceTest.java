package org.endivehold.daemon.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.TestContexts;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.peer.TcpPeerTransport;
import org.endivehold.membership.Member;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Revision;
import org.endivehold.misc.ZoneName;
import org.endivehold.platform.HostEntry;
import org.endivehold.platform.HostList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class MembershipServiceTest {
    private static final long AWAIT_SECONDS = 30;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<HostEntry> hosts = new ArrayList<>();
    private final List<Kernel> kernels = new ArrayList<>();
    private final List<MembershipService> services = new ArrayList<>();

    /** A list that the test fills; it shows only the first daemon, as a lagging one would. */
    private final class FakeHostList implements Service, HostList {
        @Override
        public String name() {
            return "hosts";
        }

        @Override
        public Future<Void> start(Kernel kernel) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> stop() {
            return Future.succeededFuture();
        }

        @Override
        public CompletionStage<List<HostEntry>> hosts() {
            return CompletableFuture.completedFuture(List.copyOf(hosts));
        }
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void daemonsFindEachOtherNoticeADeathAndSpreadTheirConfiguration() {
        for (String host : List.of("a", "b", "c")) {
            start(host);
        }
        until(() -> services.stream().allMatch(s -> s.liveCount() == 3));
        on(() -> services.get(2).announceConfiguration(new Revision(5), "digest"));
        until(() ->
                services.get(0).member(new HostId("c")).orElseThrow().revision().equals(new Revision(5)));
        await(() -> kernels.get(1).shutdown());
        until(() -> services.get(0).liveCount() == 2 && services.get(2).liveCount() == 2);
        Member gone = services.get(0).member(new HostId("b")).orElseThrow();
        assertEquals(Member.State.DEAD, gone.state());
    }

    private void start(String host) {
        DaemonContext context = TestContexts.create(vertx, host);
        TcpPeerTransport peers = new TcpPeerTransport(context);
        MembershipService service = new MembershipService(context);
        Kernel kernel = new Kernel().add(new FakeHostList()).add(peers).add(service);
        await(kernel::start);
        if (hosts.isEmpty()) {
            hosts.add(new HostEntry(new HostId(host), new ZoneName("zone-a"), "127.0.0.1", peers.port(), false));
        }
        kernels.add(kernel);
        services.add(service);
    }

    private void until(BooleanSupplier condition) {
        await(() -> {
            Promise<Void> met = Promise.promise();
            vertx.setPeriodic(5, timer -> {
                if (condition.getAsBoolean()) {
                    vertx.cancelTimer(timer);
                    met.complete();
                }
            });
            return met.future();
        });
    }

    private void on(Runnable step) {
        await(() -> {
            step.run();
            return Future.succeededFuture(true);
        });
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
