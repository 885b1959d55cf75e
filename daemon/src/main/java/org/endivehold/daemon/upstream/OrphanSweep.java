package org.endivehold.daemon.upstream;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Upstream;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.error.EndiveholdException;
import org.endivehold.membership.Member;
import org.endivehold.membership.MemberDirectory;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.RendezvousHash;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.EngineLoad;
import org.endivehold.upstream.OrphanFinder;
import org.endivehold.upstream.ResourceOwner;
import org.jboss.logging.Logger;

/**
 * Releases orphaned caches: those that daemons whose process has ended left in the memory of engines. Rendezvous
 * hashing assigns each engine to one daemon. If two daemons both consider themselves assigned for a while, the second
 * release has no effect.
 */
public final class OrphanSweep implements Service {
    /** Name of the service. */
    public static final String NAME = "orphans";
    /** Time between two sweeps, in milliseconds; an orphaned cache is held for at most the grace period plus this. */
    private static final long SWEEP_PERIOD_MILLIS = 5_000;

    private static final Logger log = Logger.getLogger(OrphanSweep.class);

    private final DaemonContext context;
    private final OrphanFinder finder = new OrphanFinder();
    private MemberDirectory members;
    private UpstreamDirectory upstreams;
    private List<UpstreamName> engines = List.of();
    private long timer;

    /**
     * Creates the service.
     *
     * @param context the daemon's context
     */
    public OrphanSweep(DaemonContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> dependencies() {
        return Set.of(ActiveConfiguration.NAME, MemberDirectory.NAME, UpstreamDirectory.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            members = kernel.find(MemberDirectory.NAME, MemberDirectory.class);
            upstreams = kernel.find(UpstreamDirectory.NAME, UpstreamDirectory.class);
            kernel.find(ActiveConfiguration.NAME, ActiveConfiguration.class).listen(this::activated);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        timer = context.vertx().setPeriodic(SWEEP_PERIOD_MILLIS, ignored -> sweep());
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        context.vertx().cancelTimer(timer);
        return Future.succeededFuture();
    }

    private void activated(ConfigurationSnapshot snapshot) {
        engines = snapshot.configuration().upstreams().values().stream()
                .filter(upstream -> upstream.kind() == Upstream.Kind.ENGINE)
                .map(Upstream::name)
                .toList();
    }

    /** Checks the engines assigned to this daemon; checks none while the other daemons are not known. */
    void sweep() {
        if (!members.registered()) {
            return;
        }
        String self = members.self().host().value();
        List<String> others = new ArrayList<>();
        members.others().forEach(member -> others.add(member.host().value()));
        for (UpstreamName name : engines) {
            if (RendezvousHash.chosen(self, others, name.value(), 1)) {
                sweepEngine(name);
            }
        }
    }

    private void sweepEngine(UpstreamName name) {
        try {
            Engine engine = upstreams.engine(name);
            engine.loadReport().whenComplete((load, failure) -> {
                if (failure == null) {
                    release(engine, name, load);
                } else {
                    logFailure(name, failure);
                }
            });
        } catch (EndiveholdException e) {
            logFailure(name, e);
        }
    }

    private void release(Engine engine, UpstreamName name, EngineLoad load) {
        long now = context.ticker().millis();
        for (CacheHandle cache : finder.find(name, load, this::hasEnded, now)) {
            LogEvent.of("orphan-released")
                    .with("upstream", name)
                    .with("cache", cache.id())
                    .with("tokens", cache.tokens())
                    .info(log);
            engine.release(cache).whenComplete((done, failure) -> {
                if (failure != null) {
                    logFailure(name, failure);
                }
            });
        }
    }

    /** Returns whether the owner has ended: its host is not registered, or is registered with another incarnation. */
    private boolean hasEnded(ResourceOwner owner) {
        return members.member(owner.host())
                .map(Member::incarnation)
                .filter(owner.incarnation()::equals)
                .isEmpty();
    }

    private static void logFailure(UpstreamName name, Throwable failure) {
        LogEvent.of("orphans-not-read")
                .with("upstream", name)
                .with("reason", failure.getMessage())
                .info(log);
    }
}
