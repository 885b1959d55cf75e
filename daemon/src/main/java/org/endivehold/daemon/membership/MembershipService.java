package org.endivehold.daemon.membership;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.kernel.StatusContributor;
import org.endivehold.daemon.peer.PeerTransport;
import org.endivehold.daemon.peer.TcpPeerTransport;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.error.EndiveholdException;
import org.endivehold.membership.Heartbeat;
import org.endivehold.membership.LiveHosts;
import org.endivehold.membership.Member;
import org.endivehold.membership.MemberListener;
import org.endivehold.membership.MembershipAction;
import org.endivehold.membership.MembershipProtocol;
import org.endivehold.membership.MembershipTimings;
import org.endivehold.misc.HostId;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Revision;
import org.endivehold.platform.HostEntry;
import org.endivehold.platform.HostList;
import org.endivehold.wire.HeartbeatMessage;
import org.jboss.logging.Logger;

/**
 * Runs the {@link MembershipProtocol} over the peer transport, with the platform's host list as seeds, and keeps the
 * transport's addresses up to date.
 *
 * <p>Others find it as {@link LiveHosts} under the name {@code membership}. A service that spreads something by
 * neighbours calls {@link #announceConfiguration} when it has something new, and watches the {@code revision} of the
 * members through {@link #listen}.
 */
public final class MembershipService implements Service, LiveHosts, StatusContributor {
    private static final String HOSTS = "hosts";
    private static final Logger log = Logger.getLogger(MembershipService.class);

    private final DaemonContext context;
    private final List<MemberListener> listeners = new ArrayList<>();
    private MembershipProtocol protocol;
    private PeerTransport peers;
    private HostList hostList;
    private Optional<ListedHosts> listed = Optional.empty();
    private boolean reading;
    private long tickTimer;
    private long listTimer;

    /**
     * Creates the service.
     *
     * @param context the daemon's context
     */
    public MembershipService(DaemonContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> needs() {
        return Set.of(HOSTS, PeerTransport.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            TcpPeerTransport transport = kernel.find(PeerTransport.NAME, TcpPeerTransport.class);
            hostList = kernel.find(HOSTS, HostList.class);
            start(transport, transport.port());
            return Future.succeededFuture();
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
    }

    private void start(PeerTransport transport, int port) {
        Settings settings = context.settings();
        Settings.Membership chosen = settings.membership();
        MembershipTimings timings = new MembershipTimings(
                chosen.periodMillis(), chosen.ackTimeoutMillis(), chosen.indirectProbes(), chosen.suspicionPeriods());
        String address = settings.peers().address();
        Member self = new Member(
                settings.host(),
                context.incarnation(),
                settings.zone(),
                address,
                port,
                Member.State.ALIVE,
                0,
                Revision.ZERO,
                "");
        protocol = new MembershipProtocol(self, timings, context.random());
        peers = transport;
        peers.handle(HeartbeatMessage.class, this::receive);
        tickTimer = context.vertx().setPeriodic(timings.tickMillis(), t -> tick());
        listTimer = context.vertx().setPeriodic(settings.hosts().pollMillis(), t -> readList());
        readList();
    }

    @Override
    public Future<Void> drain() {
        announceLeaving();
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        context.vertx().cancelTimer(tickTimer);
        context.vertx().cancelTimer(listTimer);
        return Future.succeededFuture();
    }

    @Override
    public Member self() {
        return protocol.self();
    }

    @Override
    public Collection<Member> members() {
        return protocol.members();
    }

    @Override
    public void listen(MemberListener listener) {
        listeners.add(listener);
    }

    @Override
    public void announceConfiguration(Revision revision, String digest) {
        protocol.announceConfiguration(revision, digest);
    }

    @Override
    public void announceLeaving() {
        protocol.announceLeaving();
    }

    /**
     * Returns the platform's host list as it was last read.
     *
     * @return the list, or empty before the first successful reading
     */
    public Optional<ListedHosts> listed() {
        return listed;
    }

    /** Reads the platform's host list now, unless a reading is under way. */
    public void readListNow() {
        readList();
    }

    @Override
    public String statusName() {
        return NAME;
    }

    @Override
    public Object status() {
        return List.copyOf(protocol.members());
    }

    private void tick() {
        perform(protocol.tick(context.ticker().millis()));
    }

    private Future<HeartbeatMessage> receive(HostId from, HeartbeatMessage message) {
        Heartbeat heartbeat = message.heartbeat();
        if (heartbeat != null && heartbeat.sender().host().equals(from)) {
            perform(protocol.receive(from, heartbeat, context.ticker().millis()));
        }
        return Future.succeededFuture();
    }

    private void perform(List<MembershipAction> actions) {
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.Changed changed) {
                changed(changed.member());
            }
        }
        for (MembershipAction action : actions) {
            if (action instanceof MembershipAction.Send send) {
                peers.send(send.to(), new HeartbeatMessage(send.heartbeat()));
            }
        }
    }

    private void changed(Member member) {
        if (member.state() != Member.State.DEAD) {
            peers.address(member.host(), member.address(), member.port());
        }
        LogEvent.of("member-changed")
                .with("host", member.host())
                .with("incarnation", member.incarnation())
                .with("state", member.state())
                .with("revision", member.revision())
                .debug(log);
        for (MemberListener listener : listeners) {
            listener.changed(member);
        }
    }

    private void readList() {
        if (reading) {
            return;
        }
        reading = true;
        long askedAt = context.ticker().millis();
        Future.fromCompletionStage(hostList.hosts(), context.vertx().getOrCreateContext())
                .onComplete(result -> {
                    reading = false;
                    if (result.succeeded()) {
                        listed(new ListedHosts(askedAt, result.result()));
                    } else {
                        context.errors().report(NAME, result.cause());
                    }
                });
    }

    private void listed(ListedHosts next) {
        listed = Optional.of(next);
        for (HostEntry entry : next.hosts()) {
            boolean live = member(entry.host())
                    .filter(m -> m.state() != Member.State.DEAD)
                    .isPresent();
            if (!live && !entry.host().equals(context.settings().host())) {
                peers.address(entry.host(), entry.address(), entry.peerPort());
            }
        }
        protocol.seeds(next.hosts().stream().map(HostEntry::host).toList());
    }
}
