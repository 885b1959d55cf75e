package org.endivehold.daemon.grant;

import io.vertx.core.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.endivehold.config.Upstream;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.upstream.UpstreamDirectory;
import org.endivehold.error.EndiveholdException;
import org.endivehold.grant.Grantor;
import org.endivehold.grant.UpstreamReport;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.EngineOrder;

/** Reads the load of the upstreams of this daemon's groups, and sends the grantors' orders. */
final class LoadPoller {
    private final DaemonContext context;
    private final UpstreamDirectory directory;
    private final Set<UpstreamName> reading = new HashSet<>();
    private final Set<String> ordering = new HashSet<>();

    LoadPoller(DaemonContext context, UpstreamDirectory directory) {
        this.context = context;
        this.directory = directory;
    }

    /** Asks each upstream for its load, unless an earlier answer is outstanding. */
    void poll(Grantor grantor, List<Upstream> upstreams) {
        for (Upstream upstream : upstreams) {
            if (reading.add(upstream.name())) {
                read(upstream)
                        .onSuccess(report -> report(grantor, upstream, report))
                        .onComplete(done -> reading.remove(upstream.name()));
            }
        }
    }

    /** Sends orders that free what belongs to no living daemon. */
    void freeOrphans(Grantor grantor) {
        for (Grantor.AddressedOrder order : grantor.orphans(context.ticker().millis())) {
            send(grantor, order.upstream(), order.order());
        }
    }

    private Future<UpstreamReport> read(Upstream upstream) {
        long askedAt = context.ticker().millis();
        try {
            if (upstream.kind() == Upstream.Kind.ENGINE) {
                return future(directory.engine(upstream.name()).load()).map(load -> UpstreamReport.of(load, askedAt));
            }
            return future(directory.plain(upstream.name()).load()).map(load -> UpstreamReport.of(load, askedAt));
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
    }

    private void report(Grantor grantor, Upstream upstream, UpstreamReport report) {
        grantor.report(upstream.name(), report, context.ticker().millis());
        report.engine().ifPresent(load -> {
            for (VersionName version : upstream.versions()) {
                if (!load.versions().contains(version)) {
                    send(grantor, upstream.name(), new EngineOrder.LoadVersion(grantor.epoch(), version));
                }
            }
        });
    }

    private void send(Grantor grantor, UpstreamName upstream, EngineOrder order) {
        String key = upstream + " " + order;
        if (!grantor.mayOrder(upstream, order, context.ticker().millis()) || !ordering.add(key)) {
            return;
        }
        try {
            Engine engine = directory.engine(upstream);
            future(engine.order(order))
                    .onFailure(e -> context.errors().report("grants", e))
                    .onComplete(done -> ordering.remove(key));
        } catch (EndiveholdException e) {
            ordering.remove(key);
        }
    }

    private <T> Future<T> future(CompletionStage<T> stage) {
        return Future.fromCompletionStage(stage, context.vertx().getOrCreateContext());
    }
}
