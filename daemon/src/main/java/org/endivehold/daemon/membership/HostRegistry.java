package org.endivehold.daemon.membership;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.Future;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.kernel.StatusContributor;
import org.endivehold.daemon.peer.PeerTransport;
import org.endivehold.daemon.peer.TcpPeerTransport;
import org.endivehold.daemon.platform.EtcdStore;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.membership.Member;
import org.endivehold.membership.MemberDirectory;
import org.endivehold.membership.MemberListener;
import org.endivehold.misc.HostId;
import org.endivehold.misc.LogEvent;
import org.endivehold.platform.LeaseId;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;
import org.endivehold.platform.WatchListener;
import org.jboss.logging.Logger;

/**
 * Registers this daemon in the key-value service under a lease, and watches the entries of the other daemons.
 *
 * <p>The known members are kept during an outage of the key-value service: a member whose lease has expired is removed
 * here only when the watch or a listing of the entries shows this. A daemon that has lost its lease registers again at
 * its next renewal.
 */
public final class HostRegistry implements Service, MemberDirectory, StatusContributor {
    /** Prefix of the entries' keys, followed by the name of the host. */
    private static final String KEY_PREFIX = "hosts/";

    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Logger log = Logger.getLogger(HostRegistry.class);

    private final DaemonContext context;
    private final List<MemberListener> listeners = new ArrayList<>();
    private final Map<HostId, Member> members = new TreeMap<>();
    private Member self;
    private PeerTransport peers;
    private PlatformStore store;
    private PlatformStore.Watch watch;
    private Optional<LeaseId> lease = Optional.empty();
    private boolean renewalInProgress;
    private long timer;

    /**
     * Creates the service.
     *
     * @param context shared objects of the daemon
     */
    public HostRegistry(DaemonContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> dependencies() {
        return Set.of(EtcdStore.NAME, PeerTransport.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            TcpPeerTransport transport = kernel.find(PeerTransport.NAME, TcpPeerTransport.class);
            start(transport, transport.port(), kernel.find(EtcdStore.NAME, PlatformStore.class));
            return Future.succeededFuture();
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
    }

    private void start(PeerTransport transport, int port, PlatformStore found) {
        Settings settings = context.settings();
        peers = transport;
        store = found;
        String address = settings.peers().address();
        self = new Member(settings.host(), context.incarnation(), settings.zone(), address, port, false);
        members.put(self.host(), self);
        watch = store.watch(KEY_PREFIX, new EntryListener());
        timer = context.vertx().setPeriodic(settings.membership().renewMillis(), t -> renewOrRegister());
        renewOrRegister();
    }

    @Override
    public Future<Void> drain() {
        self = self.asLeaving();
        members.put(self.host(), self);
        return lease.isEmpty()
                ? Future.succeededFuture()
                : writeOwnEntry(lease.get()).otherwiseEmpty();
    }

    @Override
    public Future<Void> stop() {
        context.vertx().cancelTimer(timer);
        watch.close();
        return lease.isEmpty()
                ? Future.succeededFuture()
                : onEventLoop(store.revokeLease(lease.get())).otherwiseEmpty();
    }

    @Override
    public Member self() {
        return self;
    }

    @Override
    public Collection<Member> members() {
        return List.copyOf(members.values());
    }

    @Override
    public boolean registered() {
        return lease.isPresent();
    }

    @Override
    public void listen(MemberListener listener) {
        listeners.add(listener);
    }

    @Override
    public String statusName() {
        return NAME;
    }

    @Override
    public Object status() {
        return members();
    }

    /** Renews the lease, or registers if there is none. Does nothing while an earlier attempt is in progress. */
    private void renewOrRegister() {
        if (renewalInProgress) {
            return;
        }
        renewalInProgress = true;
        Future<Void> done = lease.isPresent() ? renewLease(lease.get()) : register();
        done.onComplete(result -> {
            renewalInProgress = false;
            if (result.failed()) {
                context.errors().report(NAME, result.cause());
            }
        });
    }

    private Future<Void> renewLease(LeaseId held) {
        return onEventLoop(store.renewLease(held)).<Void>mapEmpty().recover(failure -> {
            if (EndiveholdException.unwrap(failure).type() == ErrorType.LEASE_LOST) {
                lease = Optional.empty();
                LogEvent.of("lease-lost").with("host", self.host()).warn(log);
                return register();
            }
            return Future.failedFuture(failure);
        });
    }

    private Future<Void> register() {
        Duration ttl = Duration.ofMillis(context.settings().membership().leaseMillis());
        return onEventLoop(store.grantLease(ttl))
                .compose(granted -> writeOwnEntry(granted).onSuccess(done -> {
                    lease = Optional.of(granted);
                    LogEvent.of("daemon-registered")
                            .with("lease", granted.value())
                            .info(log);
                }));
    }

    /** Writes this daemon's entry; replaces the entry of an earlier process on this host. */
    private Future<Void> writeOwnEntry(LeaseId granted) {
        String key = KEY_PREFIX + self.host();
        byte[] value;
        try {
            value = MAPPER.writeValueAsBytes(self);
        } catch (JsonProcessingException e) {
            return Future.failedFuture(new EndiveholdException(ErrorType.INTERNAL, e.getMessage()));
        }
        return onEventLoop(store.get(key))
                .compose(found -> onEventLoop(store.compareAndSwap(
                        key, found.map(StoreEntry::revision).orElse(0L), value, Optional.of(granted))))
                .compose(HostRegistry::checkSwapped);
    }

    private static Future<Void> checkSwapped(SwapResult result) {
        return result.swapped()
                ? Future.succeededFuture()
                : Future.failedFuture(
                        new EndiveholdException(ErrorType.STORE_REFUSED, "another process writes this host's entry"));
    }

    private <T> Future<T> onEventLoop(CompletionStage<T> stage) {
        return Future.fromCompletionStage(stage, context.vertx().getOrCreateContext());
    }

    private void applyEntry(StoreEntry entry) {
        Member member;
        try {
            member = MAPPER.readValue(entry.value(), Member.class);
        } catch (IOException e) {
            LogEvent.of("daemon-unreadable")
                    .with("key", entry.key())
                    .with("reason", e.getMessage())
                    .warn(log);
            return;
        }
        if (member.host().equals(self.host()) || member.equals(members.put(member.host(), member))) {
            return;
        }
        peers.setAddress(member.host(), member.address(), member.port());
        LogEvent.of("member-changed")
                .with("host", member.host())
                .with("incarnation", member.incarnation())
                .with("leaving", member.leaving())
                .with("revision", entry.revision())
                .info(log);
        listeners.forEach(listener -> listener.changed(member));
    }

    private void removeMember(HostId host) {
        if (host.equals(self.host())) {
            return;
        }
        Member gone = members.remove(host);
        if (gone != null) {
            LogEvent.of("member-gone").with("host", host).info(log);
            listeners.forEach(listener -> listener.gone(gone));
        }
    }

    private void readAll() {
        onEventLoop(store.list(KEY_PREFIX)).onSuccess(this::applyListing).onFailure(failure -> context.errors()
                .report(NAME, failure));
    }

    private void applyListing(List<StoreEntry> entries) {
        entries.forEach(this::applyEntry);
        Set<HostId> listed = new HashSet<>();
        entries.forEach(entry -> listed.add(host(entry.key())));
        List.copyOf(members.keySet()).stream()
                .filter(host -> !listed.contains(host))
                .forEach(this::removeMember);
    }

    private static HostId host(String key) {
        return new HostId(key.substring(KEY_PREFIX.length()));
    }

    /** Applies changes of the entries of all daemons. */
    private final class EntryListener implements WatchListener {
        @Override
        public void changed(StoreEntry entry) {
            applyEntry(entry);
        }

        @Override
        public void deleted(String key) {
            removeMember(host(key));
        }

        @Override
        public void resync() {
            readAll();
        }
    }
}
