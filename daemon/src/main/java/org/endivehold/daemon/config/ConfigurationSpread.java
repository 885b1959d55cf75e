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
 * Spreads configurations between daemons. Each daemon asks one neighbour drawn at random every second what it has in
 * force, and fetches the difference if it is behind; so it hears of a change that the store did not tell, and knows
 * that it is not cut off. While the store is silent it asks several: a change that one daemon knows reaches all others
 * within a few rounds.
 */
public final class ConfigurationSpread implements Service {
    /** Name of the service. */
    public static final String NAME = "config-spread";

    private static final long ASK_MILLIS = 1_000;
    private static final long ANSWER_MILLIS = 1_000;
    private static final long STORE_SILENT_MILLIS = 2_000;
    private static final int ASKED_WITHOUT_STORE = 3;

    private final DaemonContext context;
    private ConfigurationService configuration;
    private PeerTransport peers;
    private MemberDirectory hosts;
    private long timer = -1;

    /**
     * Creates the service.
     *
     * @param context what the daemon's services share
     */
    public ConfigurationSpread(DaemonContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> needs() {
        return Set.of(ActiveConfiguration.NAME, PeerTransport.NAME, MemberDirectory.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            configuration = kernel.find(ActiveConfiguration.NAME, ConfigurationService.class);
            peers = kernel.find(PeerTransport.NAME, PeerTransport.class);
            hosts = kernel.find(MemberDirectory.NAME, MemberDirectory.class);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        configuration.fetchFromNeighbours(this::fetch);
        hosts.listen(new NeighbourListener());
        peers.setHandler(ConfigFetch.class, this::answer);
        timer = context.vertx().setPeriodic(ASK_MILLIS, id -> askSome());
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        context.vertx().cancelTimer(timer);
        return Future.succeededFuture();
    }

    /** Knows the neighbours that are registered and do not leave. */
    private final class NeighbourListener implements MemberListener {
        @Override
        public void changed(Member member) {
            if (member.leaving()) {
                configuration.neighbourGone(member.host());
            } else {
                configuration.neighbourKnown(member.host());
            }
        }

        @Override
        public void gone(Member member) {
            configuration.neighbourGone(member.host());
        }
    }

    private void askSome() {
        configuration.retainNeighbours(
                hosts.members().stream().map(Member::host).collect(Collectors.toSet()));
        List<Member> others = new ArrayList<>(hosts.others());
        int count = configuration.storeSilentMillis() > STORE_SILENT_MILLIS ? ASKED_WITHOUT_STORE : 1;
        for (int i = 0; i < count && !others.isEmpty(); i++) {
            ask(others.remove(context.random().nextInt(others.size())));
        }
    }

    private void ask(Member member) {
        request(member.host(), configuration.current())
                .onSuccess(delta -> {
                    if (!member.leaving()) {
                        configuration.neighbourSeen(member.host(), delta.revision(), delta.digest());
                    }
                })
                .onFailure(failure ->
                        context.meters().counter("endivehold.config.ask.failed").increment());
    }

    private Future<ConfigDelta> request(HostId host, Optional<ConfigurationSnapshot> current) {
        ConfigFetch fetch = new ConfigFetch(
                current.map(ConfigurationSnapshot::revision).orElse(Revision.ZERO),
                current.map(ConfigurationSnapshot::digest).orElse(""));
        return peers.request(host, fetch, ANSWER_MILLIS)
                .compose(answer -> answer instanceof ConfigDelta delta
                        ? Future.succeededFuture(delta)
                        : Future.failedFuture(new EndiveholdException(
                                ErrorType.PEER_PROTOCOL, host, answer.getClass().getSimpleName())));
    }

    private Future<ConfigurationSnapshot> fetch(HostId neighbour, Optional<ConfigurationSnapshot> current) {
        return request(neighbour, current).compose(delta -> {
            try {
                return Future.succeededFuture(ConfigurationSpread.apply(delta, current));
            } catch (EndiveholdException e) {
                return Future.failedFuture(e);
            }
        });
    }

    private Future<Message> answer(HostId sender, ConfigFetch fetch) {
        boolean leaving = hosts.member(sender).filter(Member::leaving).isPresent();
        if (!leaving) {
            configuration.neighbourSeen(sender, fetch.have(), fetch.digest());
        }
        return Future.succeededFuture(difference(configuration, fetch));
    }

    private static ConfigDelta difference(ConfigurationService configuration, ConfigFetch fetch) {
        Optional<ConfigurationSnapshot> current = configuration.current();
        if (current.isEmpty()) {
            return new ConfigDelta(Revision.ZERO, "", List.of(), List.of(), List.of());
        }
        return difference(current.get(), configuration.recent(fetch.have()), fetch);
    }

    /**
     * Computes what to answer.
     *
     * @param current what is in force here
     * @param base the revision that the other daemon has, if it is kept here
     * @param fetch what the other daemon has
     * @return the difference, the whole, or nothing but the revision if the other daemon is not behind
     */
    static ConfigDelta difference(
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
     * Applies an answer and checks it against the digest that it claims.
     *
     * @param delta the answer
     * @param current what is in force here
     * @return the neighbour's configuration
     * @throws EndiveholdException of type {@code CONFIG_DIGEST} or {@code CONFIG_INVALID}
     */
    static ConfigurationSnapshot apply(ConfigDelta delta, Optional<ConfigurationSnapshot> current)
            throws EndiveholdException {
        Configuration configuration;
        if (!delta.whole().isEmpty()) {
            configuration = ConfigurationPacker.unpack(delta.whole());
        } else if (current.isPresent()) {
            configuration = new ConfigurationDelta(delta.changed(), delta.removed())
                    .applyTo(current.get().configuration());
        } else {
            throw new EndiveholdException(ErrorType.CONFIG_INVALID, "a difference to nothing");
        }
        String digest = ConfigurationWriter.digest(configuration);
        if (!digest.equals(delta.digest())) {
            throw new EndiveholdException(ErrorType.CONFIG_DIGEST, delta.revision());
        }
        return new ConfigurationSnapshot(delta.revision(), digest, configuration);
    }
}
