package org.endivehold.daemon.grant;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.kernel.StatusContributor;
import org.endivehold.daemon.membership.MembershipService;
import org.endivehold.daemon.peer.PeerTransport;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.daemon.upstream.UpstreamDirectory;
import org.endivehold.error.EndiveholdException;
import org.endivehold.grant.Capacity;
import org.endivehold.grant.GrantGroups;
import org.endivehold.grant.GrantHolder;
import org.endivehold.grant.GrantTimings;
import org.endivehold.grant.GrantedCapacity;
import org.endivehold.grant.Grantor;
import org.endivehold.grant.GrantorTable;
import org.endivehold.grant.GroupGrantor;
import org.endivehold.grant.GroupPlacement;
import org.endivehold.membership.LiveHosts;
import org.endivehold.membership.Member;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.platform.PlatformStore;
import org.endivehold.upstream.StreamOwner;
import org.endivehold.wire.GrantorsAnswer;
import org.endivehold.wire.GrantorsRequest;

/** Runs the grant protocol: this daemon as holder, and as grantor of the groups that it has the lease of. */
public final class GrantService implements Service, StatusContributor, GroupLeases.Listener {
    /** Name of the service. */
    public static final String NAME = "grants";

    private static final String STORE = "store";
    private static final long TICK_MILLIS = 100;
    private static final long SETTLE_MILLIS = 1_000;
    private static final long GIVE_AFTER_MILLIS = 10_000;
    private static final long HAND_OVER_MILLIS = 3_000;
    private static final long NEIGHBOUR_TIMEOUT_MILLIS = 1_000;

    private final DaemonContext context;
    private final GrantGroups groups;
    private final GrantTimings timings;
    private final GrantHolder holder;
    private final GrantorTable table;
    private final GrantorSet grantors;
    private final Map<HostId, Long> liveSince = new HashMap<>();
    private final Map<Integer, Integer> freeRounds = new HashMap<>();
    private final List<Long> timers = new ArrayList<>();
    private boolean enabled;
    private boolean leaving;
    private boolean gave;
    private long startedAt;
    private long lastTick;
    private MembershipService membership;
    private GrantMessenger messenger;
    private GrantServer server;
    private GrantClient client;
    private LoadPoller poller;
    private GroupLeases leases;
    private GrantedCapacity capacity;

    /**
     * Creates the service.
     *
     * @param context the daemon's context
     */
    public GrantService(DaemonContext context) {
        this.context = context;
        Settings.Grants chosen = context.settings().grants();
        groups = new GrantGroups(chosen.groups());
        timings = new GrantTimings(
                chosen.grantMillis(), chosen.renewMillis(), chosen.pauseMillis(), chosen.orderMillis());
        StreamOwner self = new StreamOwner(context.settings().host(), context.incarnation());
        holder = new GrantHolder(self, groups, chosen.pauseMillis());
        table = new GrantorTable(groups);
        grantors = new GrantorSet(context, groups, timings);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> needs() {
        return Set.of(ActiveConfiguration.NAME, STORE, PeerTransport.NAME, LiveHosts.NAME, UpstreamDirectory.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        enabled = context.settings().grants().policy().equals(GrantedCapacity.NAME);
        if (!enabled) {
            return Future.succeededFuture();
        }
        try {
            membership = kernel.find(LiveHosts.NAME, MembershipService.class);
            messenger =
                    new GrantMessenger(context.settings().host(), kernel.find(PeerTransport.NAME, PeerTransport.class));
            poller = new LoadPoller(context, kernel.find(UpstreamDirectory.NAME, UpstreamDirectory.class));
            leases = new GroupLeases(context, kernel.find(STORE, PlatformStore.class), this);
            assemble();
            kernel.find(ActiveConfiguration.NAME, ActiveConfiguration.class).listen(this::activated);
            startTimers();
            return Future.succeededFuture();
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
    }

    private void assemble() {
        server = new GrantServer(context, messenger, grantors, table);
        client = new GrantClient(context, messenger, holder, groups, table, grantors);
        ReservationClient reservations =
                new ReservationClient(context, messenger, holder, groups, table, client::renewSoon);
        capacity = new GrantedCapacity(holder, reservations::reserve, client::renewSoon, context.ticker());
        messenger.handle(GrantorsRequest.class, (from, r) -> Future.succeededFuture(new GrantorsAnswer(table.all())));
    }

    private void startTimers() {
        Settings.Grants chosen = context.settings().grants();
        startedAt = context.ticker().millis();
        lastTick = startedAt;
        every(TICK_MILLIS, this::tick);
        every(chosen.renewMillis(), this::renew);
        every(Math.max(TICK_MILLIS, chosen.leaseMillis() / 6), this::poll);
        every(Math.max(TICK_MILLIS, chosen.renewMillis() / 2), this::readLoads);
        poll();
    }

    private void every(long millis, Runnable step) {
        timers.add(context.vertx().setPeriodic(millis, timer -> step.run()));
    }

    /**
     * Returns the capacity that the grantors have granted to this daemon; to be called after the service has started.
     *
     * @return the capacity
     */
    Capacity capacity() {
        return capacity;
    }

    @Override
    public Future<Void> drain() {
        if (!enabled) {
            return Future.succeededFuture();
        }
        leaving = true;
        holder.handBack(context.ticker().millis());
        return client.renewAll().compose(done -> leases.close()).compose(done -> {
            grantors.surrenderAll();
            return handedOver();
        });
    }

    /** Waits until successors have asked for this daemon's statements as grantor, or for a while. */
    private Future<Void> handedOver() {
        Promise<Void> over = Promise.promise();
        long until = context.ticker().millis() + (membership.liveCount() > 1 ? HAND_OVER_MILLIS : 0);
        context.vertx().setPeriodic(TICK_MILLIS, timer -> {
            if (grantors.all().isEmpty() || context.ticker().millis() >= until) {
                context.vertx().cancelTimer(timer);
                over.complete();
            }
        });
        return over.future();
    }

    @Override
    public Future<Void> stop() {
        timers.forEach(context.vertx()::cancelTimer);
        return Future.succeededFuture();
    }

    private void activated(ConfigurationSnapshot snapshot) {
        grantors.activated(snapshot);
        if (!leaving) {
            capacity.activated(snapshot);
        }
        client.renewAll();
    }

    private void tick() {
        long now = context.ticker().millis();
        if (now - lastTick > timings.pauseMillis()) {
            leases.paused(now);
            grantors.lease(now);
        }
        lastTick = now;
        holder.tick(now);
        noteLive(now);
        server.ask(liveSince.keySet(), membership.listed());
        server.rebalance();
    }

    private void renew() {
        client.renewAll();
        if (!table.isFull()) {
            askNeighbour();
        }
        grantors.all().forEach(poller::freeOrphans);
    }

    private void poll() {
        gave = false;
        leases.poll();
    }

    private void readLoads() {
        for (Grantor grantor : grantors.all()) {
            poller.poll(grantor, grantors.upstreams(grantor));
        }
    }

    private void askNeighbour() {
        List<Member> others = membership.others();
        if (!others.isEmpty()) {
            Member one = others.get(context.random().nextInt(others.size()));
            messenger
                    .request(one.host(), new GrantorsRequest(), GrantorsAnswer.class, NEIGHBOUR_TIMEOUT_MILLIS)
                    .onSuccess(answer -> answer.grantors().forEach(table::learn));
        }
    }

    private void noteLive(long now) {
        Set<HostId> live = new HashSet<>();
        live.add(context.settings().host());
        membership.others().stream()
                .filter(m -> m.state() == Member.State.ALIVE)
                .forEach(m -> live.add(m.host()));
        liveSince.keySet().retainAll(live);
        live.forEach(host -> liveSince.putIfAbsent(host, now));
    }

    @Override
    public void known(GroupGrantor grantor) {
        table.learn(grantor);
        grantors.stopBefore(grantor.group(), grantor.epoch());
    }

    @Override
    public void taken(int group, Epoch epoch) {
        table.learn(new GroupGrantor(group, context.settings().host(), epoch));
        if (grantors.start(group, epoch).isPresent()) {
            membership.readListNow();
            server.ask(liveSince.keySet(), membership.listed());
            readLoads();
            client.renewAll();
        }
    }

    @Override
    public void held(long until) {
        grantors.lease(until);
    }

    @Override
    public boolean wants(int group) {
        boolean settled = context.ticker().millis() - startedAt >= SETTLE_MILLIS || liveSince.size() > 1;
        if (leaving || !settled || !isListed()) {
            return false;
        }
        int rank = order(group).indexOf(context.settings().host());
        int rounds = freeRounds.merge(group, 1, Integer::sum);
        boolean due = rank >= 0 && rounds > 2 * rank;
        if (due) {
            freeRounds.remove(group);
        }
        return due;
    }

    @Override
    public boolean gives(int group) {
        HostId first = order(group).get(0);
        boolean other = !first.equals(context.settings().host());
        long since = liveSince.getOrDefault(first, Long.MAX_VALUE);
        boolean steady = other && context.ticker().millis() - since >= GIVE_AFTER_MILLIS;
        boolean complete = grantors.find(group)
                .map(g -> g.isComplete(context.ticker().millis()))
                .orElse(false);
        if (!steady || !complete || gave) {
            return false;
        }
        gave = true;
        grantors.surrender(group);
        return true;
    }

    @Override
    public void lost() {
        grantors.surrenderAll();
    }

    @Override
    public boolean isSurrendered(int group) {
        return grantors.isSurrendered(group);
    }

    private List<HostId> order(int group) {
        Collection<HostId> hosts =
                liveSince.isEmpty() ? List.of(context.settings().host()) : liveSince.keySet();
        return GroupPlacement.order(group, hosts);
    }

    /** Only listed daemons become grantors, so that a successor never overlooks one. */
    private boolean isListed() {
        return membership.listed().isPresent()
                && membership.listed().get().hosts().stream().anyMatch(entry -> entry.host()
                        .equals(context.settings().host()));
    }

    @Override
    public String statusName() {
        return NAME;
    }

    @Override
    public Object status() {
        long now = context.ticker().millis();
        return new GrantStatus(
                table.all(),
                grantors.all().stream()
                        .map(g -> new GrantStatus.Held(
                                g.group(), g.epoch(), g.isLeaseValid(now), g.isComplete(now), g.status()))
                        .toList());
    }
}
