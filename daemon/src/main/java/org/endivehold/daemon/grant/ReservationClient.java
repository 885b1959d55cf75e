package org.endivehold.daemon.grant;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.grant.GrantGroups;
import org.endivehold.grant.GrantHolder;
import org.endivehold.grant.GrantorTable;
import org.endivehold.grant.GroupGrantor;
import org.endivehold.grant.Reservation;
import org.endivehold.grant.ReservationRequest;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.StreamOwner;
import org.endivehold.wire.ReserveAnswer;
import org.endivehold.wire.ReserveRequest;

/**
 * Reserves capacity at the grantors, all or nothing. Groups are asked one after the other in the order of their
 * numbers, and whatever was reserved is given up if the rest is refused, so two daemons cannot hold each other's parts
 * for good.
 */
final class ReservationClient {
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long RETRY_MILLIS = 150;
    private static final int ATTEMPTS = 4;

    private final DaemonContext context;
    private final GrantMessenger messenger;
    private final GrantHolder holder;
    private final GrantGroups groups;
    private final GrantorTable table;
    private final Consumer<UpstreamName> renewSoon;

    ReservationClient(
            DaemonContext context,
            GrantMessenger messenger,
            GrantHolder holder,
            GrantGroups groups,
            GrantorTable table,
            Consumer<UpstreamName> renewSoon) {
        this.context = context;
        this.messenger = messenger;
        this.holder = holder;
        this.groups = groups;
        this.table = table;
        this.renewSoon = renewSoon;
    }

    CompletionStage<List<Reservation>> reserve(ReservationRequest request) {
        return attempt(request, ATTEMPTS).toCompletionStage();
    }

    /** The grantors set room aside at the first attempt, which holders free within the next ones. */
    private Future<List<Reservation>> attempt(ReservationRequest request, int left) {
        return once(request).recover(failure -> {
            if (left <= 1 || EndiveholdException.unwrap(failure).type() != ErrorType.RESERVATION_REFUSED) {
                return Future.failedFuture(failure);
            }
            return context.vertx().timer(RETRY_MILLIS).compose(timer -> attempt(request, left - 1));
        });
    }

    private Future<List<Reservation>> once(ReservationRequest request) {
        TreeMap<Integer, List<UpstreamName>> byGroup = new TreeMap<>();
        for (UpstreamName candidate : request.candidates()) {
            byGroup.computeIfAbsent(groups.of(candidate), g -> new ArrayList<>())
                    .add(candidate);
        }
        List<Reservation> made = new ArrayList<>();
        Future<Void> chain = Future.succeededFuture();
        for (var entry : byGroup.entrySet()) {
            chain = chain.compose(done -> ask(entry.getKey(), entry.getValue(), request, made));
        }
        return chain.compose(done -> {
            if (missing(request, made) > 0) {
                made.forEach(holder::close);
                request.candidates().forEach(renewSoon);
                return Future.failedFuture(
                        new EndiveholdException(ErrorType.RESERVATION_REFUSED, request.memoryTokens()));
            }
            return Future.succeededFuture(List.copyOf(made));
        });
    }

    private Future<Void> ask(
            int group, List<UpstreamName> candidates, ReservationRequest whole, List<Reservation> made) {
        long missing = missing(whole, made);
        if (missing <= 0 || table.find(group).isEmpty()) {
            return Future.succeededFuture();
        }
        GroupGrantor grantor = table.find(group).get();
        ReservationRequest part = new ReservationRequest(
                candidates, missing, whole.prefillTokens(), whole.mayBeSplit(), whole.holdMillis());
        long number = holder.reservationStarted();
        StreamOwner self = new StreamOwner(context.settings().host(), context.incarnation());
        return messenger
                .request(
                        grantor.host(),
                        new ReserveRequest(group, self, number, part),
                        ReserveAnswer.class,
                        TIMEOUT_MILLIS)
                .map(ReserveAnswer::reservations)
                .recover(e -> Future.succeededFuture(List.of()))
                .map(answer -> {
                    made.addAll(holder.reservationEnded(number, answer));
                    return null;
                });
    }

    private static long missing(ReservationRequest request, List<Reservation> made) {
        return request.memoryTokens()
                - made.stream().mapToLong(Reservation::memoryTokens).sum();
    }
}
