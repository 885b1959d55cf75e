package org.endivehold.daemon;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.daemon.request.TraceLog;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.error.ErrorManager;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.Ticker;
import org.endivehold.misc.ZoneName;

/** Daemon contexts with short intervals and time-outs for tests of single services. */
public final class TestContexts {
    private static final String LOOPBACK = "127.0.0.1";

    private TestContexts() {}

    public static DaemonContext create(Vertx vertx, String host) {
        return create(vertx, host, Optional.empty());
    }

    public static DaemonContext create(Vertx vertx, String host, Optional<Settings.Tls> tls) {
        Ticker ticker = Ticker.system();
        return new DaemonContext(
                vertx,
                settings(host, tls),
                ticker,
                new ErrorManager(),
                RandomSource.XO_RO_SHI_RO_128_PP.create(host.hashCode()),
                new SimpleMeterRegistry(),
                new TraceLog(ticker),
                new Incarnation(1));
    }

    private static Settings settings(String host, Optional<Settings.Tls> tls) {
        return new Settings(
                new HostId(host),
                new ZoneName("zone-a"),
                1,
                new Settings.Callers(LOOPBACK, 0, Optional.empty()),
                new Settings.Operators(LOOPBACK, 0, ""),
                new Settings.Peers(LOOPBACK, 0, 4_096, tls),
                new Settings.Store(List.of(), 500, "test/"),
                new Settings.Limits(1_000_000, 8_192, 1_000, 10_000_000, 100, 100),
                new Settings.Membership(1_000, 100),
                new Settings.CapacityPolicy("cold-share"),
                new Settings.Placement("least-outstanding"),
                new Settings.Retry(2, 0.2),
                new Settings.LedgerSettings(1, 1_000),
                new Settings.Shutdown(0, 1_000));
    }

    /** Returns a copy of a context with other settings of the key-value service. */
    public static DaemonContext withStoreSettings(DaemonContext context, Settings.Store store) {
        Settings s = context.settings();
        Settings changed = new Settings(
                s.host(),
                s.zone(),
                s.seed(),
                s.callers(),
                s.operators(),
                s.peers(),
                store,
                s.limits(),
                s.membership(),
                s.capacity(),
                s.placement(),
                s.retry(),
                s.ledger(),
                s.shutdown());
        return new DaemonContext(
                context.vertx(),
                changed,
                context.ticker(),
                context.errors(),
                context.random(),
                context.meters(),
                context.trace(),
                context.incarnation());
    }
}
