package org.endivehold.daemon.grant;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.membership.ListedHosts;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.grant.Grant;
import org.endivehold.grant.Grantor;
import org.endivehold.grant.GrantorTable;
import org.endivehold.grant.GroupGrantor;
import org.endivehold.grant.GroupStatement;
import org.endivehold.grant.Reservation;
import org.endivehold.misc.HostId;
import org.endivehold.platform.HostEntry;
import org.endivehold.wire.ChangeAnswer;
import org.endivehold.wire.ChangeRequest;
import org.endivehold.wire.FenceAnswer;
import org.endivehold.wire.FenceRequest;
import org.endivehold.wire.RenewAnswer;
import org.endivehold.wire.RenewRequest;
import org.endivehold.wire.ReserveAnswer;
import org.endivehold.wire.ReserveRequest;

/** The grantor's side of the messages: answers holders, asks for statements, pushes changes. */
final class GrantServer {
    private static final long ASK_TIMEOUT_MILLIS = 1_000;

    private final DaemonContext context;
    private final GrantMessenger messenger;
    private final GrantorSet grantors;
    private final GrantorTable table;
    private final Set<String> asking = new HashSet<>();

    GrantServer(DaemonContext context, GrantMessenger messenger, GrantorSet grantors, GrantorTable table) {
        this.context = context;
        this.messenger = messenger;
        this.grantors = grantors;
        this.table = table;
        messenger.handle(RenewRequest.class, this::renew);
        messenger.handle(ReserveRequest.class, this::reserve);
    }

    /** Goes on with the takeovers: asks everybody who has not answered. */
    void ask(Collection<HostId> live, Optional<ListedHosts> listed) {
        long now = context.ticker().millis();
        for (Grantor grantor : grantors.all()) {
            listed.ifPresent(list ->
                    grantor.list(list.hosts().stream().map(HostEntry::host).toList(), list.readAt()));
            if (!grantor.isStopped() && !grantor.isComplete(now)) {
                grantor.ask(live).forEach(host -> ask(grantor, host));
            }
        }
    }

    /** Pushes changes of shares to the holders. */
    void rebalance() {
        long now = context.ticker().millis();
        Map<HostId, List<Grant>> byHost = new TreeMap<>();
        for (Grantor grantor : grantors.all()) {
            for (Grantor.Addressed push : grantor.rebalance(now)) {
                byHost.computeIfAbsent(push.holder().host(), h -> new ArrayList<>())
                        .add(push.grant());
            }
        }
        byHost.forEach(this::change);
    }

    private void change(HostId host, List<Grant> grants) {
        messenger
                .request(host, new ChangeRequest(grants), ChangeAnswer.class, ASK_TIMEOUT_MILLIS)
                .onSuccess(answer -> answer.statements().forEach(statement -> state(host, statement)));
    }

    private void ask(Grantor grantor, HostId host) {
        String key = grantor.group() + "/" + grantor.epoch() + "/" + host;
        if (!asking.add(key)) {
            return;
        }
        GroupGrantor self = new GroupGrantor(grantor.group(), context.settings().host(), grantor.epoch());
        messenger
                .request(host, new FenceRequest(self), FenceAnswer.class, ASK_TIMEOUT_MILLIS)
                .onSuccess(answer -> answered(grantor, host, answer))
                .onComplete(done -> asking.remove(key));
    }

    private void answered(Grantor grantor, HostId host, FenceAnswer answer) {
        answer.grantor().ifPresent(this::learn);
        answer.past().ifPresent(grantor::predecessor);
        answer.statement()
                .filter(statement -> statement.holder().host().equals(host))
                .ifPresent(
                        statement -> grantor.state(statement, context.ticker().millis()));
    }

    private void learn(GroupGrantor known) {
        table.learn(known);
        grantors.stopBefore(known.group(), known.epoch());
    }

    private boolean state(HostId from, GroupStatement statement) {
        return statement.holder().host().equals(from)
                && grantors.find(statement.group())
                        .map(grantor ->
                                grantor.state(statement, context.ticker().millis()))
                        .orElse(false);
    }

    private Future<RenewAnswer> renew(HostId from, RenewRequest request) {
        List<Grant> grants = new ArrayList<>();
        List<GroupGrantor> others = new ArrayList<>();
        for (GroupStatement statement : request.statements()) {
            if (state(from, statement)) {
                grantors.find(statement.group())
                        .ifPresent(grantor -> grants.addAll(
                                grantor.renew(statement, context.ticker().millis())));
            } else {
                table.find(statement.group()).ifPresent(others::add);
            }
        }
        return Future.succeededFuture(new RenewAnswer(grants, others));
    }

    private Future<ReserveAnswer> reserve(HostId from, ReserveRequest request) {
        Optional<Grantor> grantor = grantors.find(request.group());
        if (grantor.isEmpty() || !request.holder().host().equals(from)) {
            return Future.failedFuture(new EndiveholdException(
                    ErrorType.RESERVATION_REFUSED, request.request().memoryTokens()));
        }
        List<Reservation> made = grantor.get()
                .reserve(
                        request.holder(),
                        request.number(),
                        request.request(),
                        context.ticker().millis());
        return Future.succeededFuture(new ReserveAnswer(made));
    }
}
