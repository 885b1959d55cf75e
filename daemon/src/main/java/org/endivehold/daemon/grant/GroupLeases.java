package org.endivehold.daemon.grant;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.grant.GroupGrantor;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.platform.LeaseId;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;

/**
 * The groups' leases in the key-value service.
 *
 * <p>Two kinds of keys: {@code grant/session/HOST}, bound to the daemon's one lease, and {@code grant/group/N}, which
 * stays and names the session under which the group was taken. A group is free when that session no longer stands. It
 * is taken by compare-and-swap with the next epoch. A lost answer needs no special care: the next reading shows whether
 * the write took effect, and a record that names this daemon's present session is this daemon's.
 */
final class GroupLeases {
    static final String PREFIX = "grant/";
    private static final String SESSIONS = PREFIX + "session/";
    private static final String GROUPS = PREFIX + "group/";
    private static final int SAFETY_DIVISOR = 10;

    private final DaemonContext context;
    private final PlatformStore store;
    private final Listener listener;
    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<HostId, Long> sessions = new HashMap<>();
    private final Map<Integer, StoreEntry> groups = new HashMap<>();
    private Optional<Session> session = Optional.empty();
    private long pausedAt = Long.MIN_VALUE;
    private boolean busy;
    private boolean closed;

    /** This daemon's session. */
    private record Session(LeaseId lease, long revision) {}

    /** Is told of the leases. */
    interface Listener {
        /** A reading shows the grantor of a group. */
        void known(GroupGrantor grantor);

        /** This daemon holds a group. */
        void taken(int group, Epoch epoch);

        /** The lease on all groups is certainly held until a time. */
        void held(long until);

        /** Chooses the groups to try for, among those that are free. */
        boolean wants(int group);

        /** The leases of all groups taken so far are lost for good. */
        void lost();

        /** Tells whether a group was to be given up, but the record still shows this daemon. */
        boolean isSurrendered(int group);

        /**
         * Chooses the groups to give to another daemon, among those that this one holds; it acts as without lease at
         * once.
         */
        boolean gives(int group);
    }

    GroupLeases(DaemonContext context, PlatformStore store, Listener listener) {
        this.context = context;
        this.store = store;
        this.listener = listener;
    }

    /** Reads, renews and takes; does nothing while an earlier round is under way. */
    void poll() {
        if (busy || closed) {
            return;
        }
        busy = true;
        renew().compose(done -> read()).compose(done -> act()).onComplete(result -> {
            busy = false;
            if (result.failed()) {
                context.errors().report("grants", result.cause());
            }
        });
    }

    /** The process was paused: only a renewal sent from now on counts. */
    void paused(long now) {
        pausedAt = now;
    }

    /** Gives all groups up by ending the session. */
    Future<Void> close() {
        closed = true;
        Optional<Session> last = session;
        session = Optional.empty();
        return last.isEmpty()
                ? Future.succeededFuture()
                : future(store.revokeLease(last.get().lease())).recover(e -> Future.succeededFuture());
    }

    private Future<Void> renew() {
        if (session.isEmpty()) {
            return Future.succeededFuture();
        }
        long sentAt = context.ticker().millis();
        return future(store.renewLease(session.get().lease()))
                .onSuccess(ttl -> held(sentAt, ttl.toMillis()))
                .recover(e -> {
                    if (EndiveholdException.unwrap(e).type() == ErrorType.LEASE_LOST) {
                        session = Optional.empty();
                        listener.lost();
                        return Future.succeededFuture();
                    }
                    return Future.failedFuture(e);
                })
                .mapEmpty();
    }

    private void held(long sentAt, long ttlMillis) {
        if (sentAt >= pausedAt) {
            listener.held(sentAt + ttlMillis - ttlMillis / SAFETY_DIVISOR);
        }
    }

    private Future<Void> read() {
        return future(store.list(PREFIX)).map(entries -> {
            sessions.clear();
            groups.clear();
            entries.forEach(this::entry);
            return null;
        });
    }

    private void entry(StoreEntry entry) {
        if (entry.key().startsWith(SESSIONS)) {
            sessions.put(new HostId(entry.key().substring(SESSIONS.length())), entry.revision());
        } else if (entry.key().startsWith(GROUPS)) {
            groups.put(Integer.parseInt(entry.key().substring(GROUPS.length())), entry);
        }
    }

    private Future<Void> act() {
        Future<Void> chain = Future.succeededFuture();
        for (int group = 0; group < context.settings().grants().groups(); group++) {
            int current = group;
            Optional<GroupRecord> record = record(group);
            record.ifPresent(r -> listener.known(new GroupGrantor(current, r.host(), r.epoch())));
            if (record.isPresent() && isMine(record.get())) {
                listener.taken(group, record.get().epoch());
                if (listener.isSurrendered(group)) {
                    chain = chain.compose(done -> take(current, record));
                } else if (listener.gives(group)) {
                    chain = chain.compose(done -> give(current, record.get()));
                }
            } else if (isFree(group, record) && listener.wants(group)) {
                chain = chain.compose(done -> take(current, record));
            }
        }
        return chain;
    }

    private Future<Void> take(int group, Optional<GroupRecord> old) {
        return ensureSession()
                .compose(mine -> {
                    Epoch epoch = old.map(r -> r.epoch().next()).orElse(Epoch.ZERO.next());
                    GroupRecord next =
                            new GroupRecord(context.settings().host(), context.incarnation(), mine.revision(), epoch);
                    return swap(group, next).onSuccess(result -> {
                        if (result.swapped()) {
                            listener.taken(group, epoch);
                        }
                    });
                })
                .mapEmpty();
    }

    private Future<Void> give(int group, GroupRecord mine) {
        return swap(group, new GroupRecord(mine.host(), mine.incarnation(), 0, mine.epoch()))
                .mapEmpty();
    }

    private Future<SwapResult> swap(int group, GroupRecord next) {
        long expected = groups.containsKey(group) ? groups.get(group).revision() : 0;
        return future(store.compareAndSwap(GROUPS + group, expected, bytes(next), Optional.empty()));
    }

    private Future<Session> ensureSession() {
        if (session.isPresent()) {
            return Future.succeededFuture(session.get());
        }
        long sentAt = context.ticker().millis();
        Duration ttl = Duration.ofMillis(context.settings().grants().leaseMillis());
        return future(store.grantLease(ttl)).compose(lease -> openSession(lease, sentAt, ttl));
    }

    private Future<Session> openSession(LeaseId lease, long sentAt, Duration ttl) {
        HostId host = context.settings().host();
        byte[] value = bytes(new SessionRecord(host, context.incarnation()));
        long expected = sessions.getOrDefault(host, 0L);
        return future(store.compareAndSwap(SESSIONS + host, expected, value, Optional.of(lease)))
                .compose(result -> {
                    if (!result.swapped()) {
                        return Future.failedFuture(
                                new EndiveholdException(ErrorType.STORE_REFUSED, "session of another process"));
                    }
                    Session opened =
                            new Session(lease, result.current().orElseThrow().revision());
                    session = Optional.of(opened);
                    listener.lost();
                    sessions.put(host, opened.revision());
                    held(sentAt, ttl.toMillis());
                    return Future.succeededFuture(opened);
                });
    }

    private boolean isMine(GroupRecord record) {
        return record.host().equals(context.settings().host())
                && session.isPresent()
                && session.get().revision() == record.session();
    }

    private boolean isFree(int group, Optional<GroupRecord> record) {
        if (record.isEmpty()) {
            return !groups.containsKey(group);
        }
        Long standing = sessions.get(record.get().host());
        return standing == null || standing != record.get().session();
    }

    private Optional<GroupRecord> record(int group) {
        StoreEntry entry = groups.get(group);
        if (entry == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(mapper.readValue(entry.value(), GroupRecord.class));
        } catch (IOException e) {
            context.errors().report("grants", e);
            return Optional.empty();
        }
    }

    private byte[] bytes(Object value) {
        return mapper.convertValue(value, JsonNode.class).toString().getBytes(StandardCharsets.UTF_8);
    }

    private <T> Future<T> future(CompletionStage<T> stage) {
        return Future.fromCompletionStage(stage, context.vertx().getOrCreateContext());
    }
}
