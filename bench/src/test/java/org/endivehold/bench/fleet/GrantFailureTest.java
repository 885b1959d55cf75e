package org.endivehold.bench.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Promise;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationReader;
import org.endivehold.config.Upstream;
import org.endivehold.daemon.Daemon;
import org.endivehold.daemon.grant.CapacityService;
import org.endivehold.daemon.grant.GrantService;
import org.endivehold.daemon.grant.GrantStatus;
import org.endivehold.error.EndiveholdException;
import org.endivehold.grant.Capacity;
import org.endivehold.grant.Share;
import org.endivehold.standin.log.StandinEvent;
import org.endivehold.standin.store.StoreFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Daemons that share cold and warm engines while grantors die or pause and the key-value service is out. */
class GrantFailureTest {
    private static final int DAEMONS = 3;
    private static final int ENGINES = 3;
    private static final int CALLERS_PER_DAEMON = 6;
    private static final long AWAIT_MILLIS = 90_000;
    private static final long LONGER_THAN_LEASES_MILLIS = 9_000;

    private Fleet fleet;
    private SteadyLoad load;

    @BeforeEach
    void start() throws EndiveholdException {
        Configuration configuration = ConfigurationReader.readDirectory(Path.of("..", "examples", "quito"))
                .orThrow();
        shrink(configuration);
        fleet = new Fleet(
                FleetPlan.builder(configuration).daemons(DAEMONS).speed(10).build());
        load = new SteadyLoad();
        for (FleetDaemon daemon : fleet.daemons()) {
            load.add(daemon.callerPort(), CALLERS_PER_DAEMON);
        }
        until("all capacity is granted", this::allGranted);
    }

    @AfterEach
    void stop() throws EndiveholdException {
        load.close();
        fleet.close();
    }

    @Test
    void aSuccessorTakesOverFromAKilledGrantor() throws EndiveholdException {
        kill(grantorOfAll());
        until("all capacity is granted again", this::allGranted);
        assertProgressAndNoOverload();
    }

    @Test
    void aGrantorPausedBeyondItsLeaseDoesNoHarm() throws EndiveholdException {
        FleetDaemon paused = grantorOfAll();
        Promise<Void> over = Promise.promise();
        paused.daemon().context().vertx().runOnContext(ignored -> {
            sleepOnEventLoop(LONGER_THAN_LEASES_MILLIS);
            over.complete();
        });
        Waiting.on(over.future());
        until("all capacity is granted again", this::allGranted);
        assertProgressAndNoOverload();
    }

    @Test
    @Tag("known-red")
    void workGoesOnWhileTheStoreIsOutForLongerThanAllLeases() throws EndiveholdException {
        fleet.standins().store().faults(StoreFaults.OUTAGE);
        until("all leases have lapsed", () -> held().stream().noneMatch(GrantStatus.Held::leaseValid));
        assertProgressAndNoOverload();
        until("shares are kept and divided without leases", this::allGranted);
        fleet.standins().store().faults(StoreFaults.NONE);
        until("leases are held again", () -> held().stream().allMatch(GrantStatus.Held::leaseValid));
        assertProgressAndNoOverload();
    }

    @Test
    void aDeathDuringAnOutageCostsOnlyItsShares() throws EndiveholdException {
        fleet.standins().store().faults(StoreFaults.OUTAGE);
        until("all leases have lapsed", () -> held().stream().noneMatch(GrantStatus.Held::leaseValid));
        kill(fleet.daemons().get(DAEMONS - 1));
        assertProgressAndNoOverload();
        fleet.standins().store().faults(StoreFaults.NONE);
        until("all capacity is granted again", this::allGranted);
        assertProgressAndNoOverload();
    }

    private void kill(FleetDaemon victim) throws EndiveholdException {
        load.remove(victim.callerPort());
        fleet.kill(victim);
        fleet.listHosts();
    }

    private FleetDaemon grantorOfAll() {
        return fleet.daemons().stream()
                .filter(FleetDaemon::isLive)
                .filter(d -> !status(d).held().isEmpty())
                .findFirst()
                .orElseThrow();
    }

    private List<GrantStatus.Held> held() {
        return fleet.daemons().stream()
                .filter(FleetDaemon::isLive)
                .flatMap(d -> status(d).held().stream())
                .filter(h -> !h.upstreams().isEmpty())
                .toList();
    }

    private boolean allGranted() {
        int configured = fleet.configuration().upstreams().values().stream()
                .mapToInt(Upstream::slots)
                .sum();
        int granted = fleet.daemons().stream()
                .filter(FleetDaemon::isLive)
                .mapToInt(GrantFailureTest::slots)
                .sum();
        return granted == configured;
    }

    private static int slots(FleetDaemon daemon) {
        return on(daemon.daemon(), () -> {
            Capacity capacity = daemon.daemon().kernel().find(CapacityService.NAME, Capacity.class);
            long now = daemon.daemon().context().ticker().millis();
            return capacity.shares(now).stream()
                    .mapToInt(GrantFailureTest::slots)
                    .sum();
        });
    }

    private static int slots(Share share) {
        return share.freeSlots() + share.usedSlots();
    }

    private static GrantStatus status(FleetDaemon daemon) {
        return on(daemon.daemon(), () -> (GrantStatus) daemon.daemon()
                .kernel()
                .find(GrantService.NAME, GrantService.class)
                .status());
    }

    private void assertProgressAndNoOverload() throws EndiveholdException {
        long before = load.answered();
        until("callers are served", () -> load.answered() > before + 20);
        assertEquals(List.of(), fleet.standins().log().events(StandinEvent.Overload.class));
        assertEquals(0, load.untrueRefusals());
    }

    private static void until(String what, BooleanSupplier condition) throws EndiveholdException {
        assertTrue(Waiting.until(condition, AWAIT_MILLIS), what);
    }

    private static void shrink(Configuration configuration) {
        int[] kept = {0};
        configuration.upstreams().values().removeIf(u -> u.kind() != Upstream.Kind.ENGINE || ++kept[0] > ENGINES);
        configuration.routes().values().removeIf(route -> !route.upstreams().isEmpty());
    }

    private static void sleepOnEventLoop(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads something of a daemon on its event loop. */
    private static <T> T on(Daemon daemon, Reading<T> reading) {
        Promise<T> promise = Promise.promise();
        daemon.context().vertx().runOnContext(ignored -> {
            try {
                promise.complete(reading.read());
            } catch (EndiveholdException e) {
                promise.fail(e);
            }
        });
        try {
            return Waiting.on(promise.future());
        } catch (EndiveholdException e) {
            throw new IllegalStateException(e);
        }
    }

    private interface Reading<T> {
        T read() throws EndiveholdException;
    }
}
