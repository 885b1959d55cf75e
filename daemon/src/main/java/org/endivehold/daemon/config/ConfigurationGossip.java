package org.endivehold.daemon.config;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationDelta;
import org.endivehold.config.ConfigurationPacker;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.ConfigurationWriter;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.peer.PeerTransport;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.membership.Member;
import org.endivehold.membership.MemberDirectory;
import org.endivehold.membership.MemberListener;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Revision;
import org.endivehold.wire.ConfigDelta;
import org.endivehold.wire.ConfigFetch;
import org.endivehold.wire.Message;

/**
 * Distributes configurations between daemons by gossip. Every second, each daemon queries one randomly chosen peer for
 * its revision, and fetches the difference if its own is older. This way it learns of changes that the key-value
 * service did not report, and knows that it is not isolated. While the key-value service is silent it queries several
 * peers, so that a change known to one daemon reaches all others within a few rounds.
 */
public final class ConfigurationGossip implements Service {
    /** Name of the service. */
    public static final String NAME = "config-spread";

    private static final long QUERY_INTERVAL_MILLIS = 1_000;
    private static final long REPLY_TIMEOUT_MILLIS = 1_000;
    private static final long STORE_SILENCE_THRESHOLD_MILLIS = 2_000;
    private static final int PEERS_QUERIED_WITHOUT_STORE = 3;

    private final DaemonContext context;
    private ConfigurationService configuration;
    private PeerTransport peers;
    private MemberDirectory members;
    private long timer = -1;

    /**
     * Creates the service.
     *
     * @param context shared objects of the daemon
     */
    public ConfigurationGossip(DaemonContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> dependencies() {
        return Set.of(ActiveConfiguration.NAME, PeerTransport.NAME, MemberDirectory.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            configuration = kernel.find(ActiveConfiguration.NAME, ConfigurationService.class);
            peers = kernel.find(PeerTransport.NAME, PeerTransport.class);
            members = kernel.find(MemberDirectory.NAME, MemberDirectory.class);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        configuration.setPeerFetcher(this::fetch);
        members.listen(new PeerMembershipListener());
        peers.setHandler(ConfigFetch.class, this::onFetch);
        timer = context.vertx().setPeriodic(QUERY_INTERVAL_MILLIS, id -> queryRandomPeers());
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        context.vertx().cancelTimer(timer);
        return Future.succeededFuture();
    }

    /** Keeps the configuration service informed of the peers that are registered and not leaving. */
    private final class PeerMembershipListener implements MemberListener {
        @Override
        public void changed(Member member) {
            if (member.leaving()) {
                configuration.peerGone(member.host());
            } else {
                configuration.peerKnown(member.host());
            }
        }

        @Override
        public void gone(Member member) {
            configuration.peerGone(member.host());
        }
    }

    private void queryRandomPeers() {
        configuration.retainPeers(members.members().stream().map(Member::host).collect(Collectors.toSet()));
        List<Member> others = new ArrayList<>(members.others());
        int count =
                configuration.storeSilentMillis() > STORE_SILENCE_THRESHOLD_MILLIS ? PEERS_QUERIED_WITHOUT_STORE : 1;
        for (int i = 0; i < count && !others.isEmpty(); i++) {
            queryPeer(others.remove(context.random().nextInt(others.size())));
        }
    }

    private void queryPeer(Member member) {
        request(member.host(), configuration.current())
                .onSuccess(delta -> {
                    if (!member.leaving()) {
                        configuration.peerSeen(member.host(), delta.revision(), delta.digest());
                    }
                })
                .onFailure(failure ->
                        context.meters().counter("endivehold.config.ask.failed").increment());
    }

    private Future<ConfigDelta> request(HostId host, Optional<ConfigurationSnapshot> current) {
        ConfigFetch fetch = new ConfigFetch(
                current.map(ConfigurationSnapshot::revision).orElse(Revision.ZERO),
                current.map(ConfigurationSnapshot::digest).orElse(""));
        return peers.request(host, fetch, REPLY_TIMEOUT_MILLIS)
                .compose(answer -> answer instanceof ConfigDelta delta
                        ? Future.succeededFuture(delta)
                        : Future.failedFuture(new EndiveholdException(
                                ErrorType.PEER_PROTOCOL, host, answer.getClass().getSimpleName())));
    }

    private Future<ConfigurationSnapshot> fetch(HostId peer, Optional<ConfigurationSnapshot> current) {
        return request(peer, current).compose(delta -> {
            try {
                return Future.succeededFuture(ConfigurationGossip.applyDelta(delta, current));
            } catch (EndiveholdException e) {
                return Future.failedFuture(e);
            }
        });
    }

    private Future<Message> onFetch(HostId sender, ConfigFetch fetch) {
        boolean leaving = members.member(sender).filter(Member::leaving).isPresent();
        if (!leaving) {
            configuration.peerSeen(sender, fetch.have(), fetch.digest());
        }
        return Future.succeededFuture(createDelta(configuration, fetch));
    }

    private static ConfigDelta createDelta(ConfigurationService configuration, ConfigFetch fetch) {
        Optional<ConfigurationSnapshot> current = configuration.current();
        if (current.isEmpty()) {
            return new ConfigDelta(Revision.ZERO, "", List.of(), List.of(), List.of());
        }
        return createDelta(current.get(), configuration.recent(fetch.have()), fetch);
    }

    /**
     * Creates the reply to a fetch.
     *
     * @param current the configuration in force here
     * @param base the revision in force at the other daemon, if it is still kept here
     * @param fetch the request, with the revision and digest of the other daemon
     * @return the difference if the base is kept and its digest matches, else the whole configuration; only the
     *     revision and digest if the other daemon is not behind
     */
    static ConfigDelta createDelta(
            ConfigurationSnapshot current, Optional<ConfigurationSnapshot> base, ConfigFetch fetch) {
        Revision revision = current.revision();
        if (fetch.have().compareTo(revision) >= 0) {
            return new ConfigDelta(revision, current.digest(), List.of(), List.of(), List.of());
        }
        if (base.isPresent() && base.get().digest().equals(fetch.digest())) {
            ConfigurationDelta delta = ConfigurationDelta.between(base.get().configuration(), current.configuration());
            return new ConfigDelta(revision, current.digest(), delta.changed(), delta.removed(), List.of());
        }
        List<byte[]> whole = ConfigurationPacker.pack(current.configuration());
        return new ConfigDelta(revision, current.digest(), List.of(), List.of(), whole);
    }

    /**
     * Applies a reply and verifies the digest of the result.
     *
     * @param delta the reply
     * @param current the configuration in force here
     * @return the peer's configuration
     * @throws EndiveholdException of type {@code CONFIG_DIGEST} if the digest does not match, or {@code CONFIG_INVALID}
     *     if the reply is malformed, or is a difference and no configuration is in force here
     */
    static ConfigurationSnapshot applyDelta(ConfigDelta delta, Optional<ConfigurationSnapshot> current)
            throws EndiveholdException {
        Configuration configuration;
        if (!delta.whole().isEmpty()) {
            configuration = ConfigurationPacker.unpack(delta.whole());
        } else if (current.isPresent()) {
            configuration = new ConfigurationDelta(delta.changed(), delta.removed())
                    .applyTo(current.get().configuration());
        } else {
            throw new EndiveholdException(
                    ErrorType.CONFIG_INVALID, "a difference cannot be applied until the first activation");
        }
        String digest = ConfigurationWriter.digest(configuration);
        if (!digest.equals(delta.digest())) {
            throw new EndiveholdException(ErrorType.CONFIG_DIGEST, delta.revision());
        }
        return new ConfigurationSnapshot(delta.revision(), digest, configuration);
    }
}
