package org.endivehold.daemon.grant;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.grant.Grant;
import org.endivehold.grant.GrantGroups;
import org.endivehold.grant.GrantHolder;
import org.endivehold.grant.GrantorTable;
import org.endivehold.grant.GroupGrantor;
import org.endivehold.grant.GroupStatement;
import org.endivehold.misc.HostId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.wire.ChangeAnswer;
import org.endivehold.wire.ChangeRequest;
import org.endivehold.wire.FenceAnswer;
import org.endivehold.wire.FenceRequest;
import org.endivehold.wire.RenewAnswer;
import org.endivehold.wire.RenewRequest;

/** The holder's side of the messages: one renewal per grantor and period, sooner where work waits. */
final class GrantClient {
    private static final long SOON_MILLIS = 50;

    private final DaemonContext context;
    private final GrantMessenger messenger;
    private final GrantHolder holder;
    private final GrantGroups groups;
    private final GrantorTable table;
    private final GrantorSet grantors;
    private final Set<HostId> renewing = new HashSet<>();
    private final Set<Integer> soon = new TreeSet<>();
    private boolean soonScheduled;

    GrantClient(
            DaemonContext context,
            GrantMessenger messenger,
            GrantHolder holder,
            GrantGroups groups,
            GrantorTable table,
            GrantorSet grantors) {
        this.context = context;
        this.messenger = messenger;
        this.holder = holder;
        this.groups = groups;
        this.table = table;
        this.grantors = grantors;
        messenger.handle(FenceRequest.class, this::fence);
        messenger.handle(ChangeRequest.class, this::change);
    }

    /** Renews all grants. */
    Future<Void> renewAll() {
        Map<HostId, List<Integer>> byHost = new HashMap<>();
        for (GroupGrantor grantor : table.all()) {
            byHost.computeIfAbsent(grantor.host(), h -> new ArrayList<>()).add(grantor.group());
        }
        List<Future<Void>> all = new ArrayList<>();
        byHost.forEach((host, members) -> all.add(renew(host, members)));
        return all.isEmpty() ? Future.succeededFuture() : Future.join(all).mapEmpty();
    }

    /** Renews an upstream's group before the period is over. */
    void renewSoon(UpstreamName upstream) {
        soon.add(groups.of(upstream));
        schedule();
    }

    private void schedule() {
        if (!soonScheduled) {
            soonScheduled = true;
            context.vertx().setTimer(SOON_MILLIS, timer -> renewDue());
        }
    }

    private void renewDue() {
        soonScheduled = false;
        Map<HostId, List<Integer>> byHost = new HashMap<>();
        for (int group : soon) {
            table.find(group).ifPresent(grantor -> byHost.computeIfAbsent(grantor.host(), h -> new ArrayList<>())
                    .add(group));
        }
        soon.clear();
        byHost.forEach((host, members) -> {
            if (renewing.contains(host)) {
                soon.addAll(members);
                schedule();
            } else {
                renew(host, members);
            }
        });
    }

    private Future<Void> renew(HostId host, List<Integer> members) {
        if (!renewing.add(host)) {
            return Future.succeededFuture();
        }
        long sentAt = context.ticker().millis();
        List<GroupStatement> statements = new ArrayList<>();
        for (int group : members) {
            table.find(group).ifPresent(grantor -> holder.fence(group, grantor.epoch()));
            GroupStatement statement = holder.state(group, sentAt);
            if (!statement.upstreams().isEmpty()) {
                statements.add(statement);
            }
        }
        if (statements.isEmpty()) {
            renewing.remove(host);
            return Future.succeededFuture();
        }
        long timeoutMillis = context.settings().grants().grantMillis();
        return messenger
                .request(host, new RenewRequest(statements), RenewAnswer.class, timeoutMillis)
                .onComplete(done -> renewing.remove(host))
                .onSuccess(answer -> renewed(answer, sentAt))
                .<Void>mapEmpty()
                .recover(e -> Future.succeededFuture());
    }

    private void renewed(RenewAnswer answer, long sentAt) {
        for (Grant grant : answer.grants()) {
            holder.accept(grant, sentAt);
        }
        for (GroupGrantor grantor : answer.grantors()) {
            Optional<GroupGrantor> known = table.find(grantor.group());
            table.learn(grantor);
            boolean unfenced = holder.epoch(grantor.group()).compareTo(grantor.epoch()) < 0;
            if (unfenced || !known.equals(table.find(grantor.group()))) {
                soon.add(grantor.group());
                schedule();
            }
        }
    }

    private Future<FenceAnswer> fence(HostId from, FenceRequest request) {
        GroupGrantor asking = request.grantor();
        int group = asking.group();
        if (!asking.host().equals(from) || !holder.fence(group, asking.epoch())) {
            return Future.succeededFuture(new FenceAnswer(Optional.empty(), Optional.empty(), table.find(group)));
        }
        table.learn(asking);
        grantors.stopBefore(group, asking.epoch());
        GroupStatement statement = holder.state(group, context.ticker().millis());
        return Future.succeededFuture(new FenceAnswer(Optional.of(statement), grantors.past(group), Optional.empty()));
    }

    private Future<ChangeAnswer> change(HostId from, ChangeRequest request) {
        Set<Integer> changed = new TreeSet<>();
        for (Grant grant : request.grants()) {
            holder.change(grant);
            changed.add(grant.group());
        }
        long now = context.ticker().millis();
        return Future.succeededFuture(new ChangeAnswer(
                changed.stream().map(group -> holder.state(group, now)).toList()));
    }
}
