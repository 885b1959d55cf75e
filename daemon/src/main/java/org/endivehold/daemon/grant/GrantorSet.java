package org.endivehold.daemon.grant;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Upstream;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.grant.GrantGroups;
import org.endivehold.grant.GrantTimings;
import org.endivehold.grant.Grantor;
import org.endivehold.grant.GrantorStatement;
import org.endivehold.grant.ServingUpstreams;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.UpstreamName;
import org.jboss.logging.Logger;

/** The groups of which this daemon is, or was, the grantor. */
final class GrantorSet {
    private static final Logger log = Logger.getLogger(GrantorSet.class);

    private final DaemonContext context;
    private final GrantGroups groups;
    private final GrantTimings timings;
    private final Map<Integer, Grantor> active = new TreeMap<>();
    private final Map<Integer, GrantorStatement> past = new HashMap<>();
    private final Set<Grantor> surrendered = Collections.newSetFromMap(new IdentityHashMap<>());
    private Optional<ConfigurationSnapshot> snapshot = Optional.empty();
    private long leaseUntil = Long.MIN_VALUE;

    GrantorSet(DaemonContext context, GrantGroups groups, GrantTimings timings) {
        this.context = context;
        this.groups = groups;
        this.timings = timings;
    }

    Collection<Grantor> all() {
        return List.copyOf(active.values());
    }

    Optional<Grantor> find(int group) {
        return Optional.ofNullable(active.get(group)).filter(grantor -> !grantor.isStopped());
    }

    /** Returns what this daemon states as an earlier grantor of a group. */
    Optional<GrantorStatement> past(int group) {
        return Optional.ofNullable(past.get(group));
    }

    /** Takes a configuration. */
    void activated(ConfigurationSnapshot next) {
        snapshot = Optional.of(next);
        active.values().forEach(this::configure);
    }

    /** Starts as grantor of a group in an epoch, unless that has happened. */
    Optional<Grantor> start(int group, Epoch epoch) {
        Grantor old = active.get(group);
        if (old != null && old.epoch().compareTo(epoch) >= 0) {
            return Optional.empty();
        }
        stopBefore(group, epoch);
        boolean first = epoch.equals(Epoch.ZERO.next());
        Grantor grantor =
                new Grantor(group, epoch, first, timings, context.ticker().millis());
        grantor.lease(leaseUntil);
        past(group).ifPresent(grantor::predecessor);
        configure(grantor);
        active.put(group, grantor);
        LogEvent.of("grantor-started").with("group", group).with("epoch", epoch).info(log);
        return Optional.of(grantor);
    }

    /** Stops as grantor of a group if a higher epoch is known. */
    void stopBefore(int group, Epoch epoch) {
        Grantor old = active.get(group);
        if (old != null && old.epoch().compareTo(epoch) < 0) {
            active.remove(group);
            surrendered.remove(old);
            GrantorStatement statement = old.stop(context.ticker().millis());
            past.merge(group, statement, GrantorSet::merge);
            LogEvent.of("grantor-stopped")
                    .with("group", group)
                    .with("epoch", old.epoch())
                    .with("successor", epoch)
                    .info(log);
        }
    }

    /** The lease on all groups of the present session is held until a time. */
    void lease(long until) {
        leaseUntil = until;
        for (Grantor grantor : active.values()) {
            if (!surrendered.contains(grantor)) {
                grantor.lease(until);
            }
        }
    }

    /** The lease on a group is not held any more, whatever is renewed later. */
    void surrender(int group) {
        find(group).ifPresent(this::surrender);
    }

    /** The lease on all groups is not held any more, whatever is renewed later. */
    void surrenderAll() {
        active.values().forEach(this::surrender);
    }

    /** Tells whether this daemon acts for a group without its lease. */
    boolean isSurrendered(int group) {
        return find(group).filter(surrendered::contains).isPresent();
    }

    private void surrender(Grantor grantor) {
        surrendered.add(grantor);
        grantor.lease(Long.MIN_VALUE);
    }

    /** Returns the upstreams of a grantor's group, for polling. */
    List<Upstream> upstreams(Grantor grantor) {
        return snapshot.map(s -> s.configuration().upstreams().values().stream()
                        .filter(u -> groups.of(u.name()) == grantor.group())
                        .toList())
                .orElse(List.of());
    }

    private void configure(Grantor grantor) {
        Set<UpstreamName> serving = snapshot.map(
                        s -> ServingUpstreams.of(s.configuration()).keySet())
                .orElse(new TreeSet<>());
        grantor.configure(upstreams(grantor), serving);
    }

    private static GrantorStatement merge(GrantorStatement old, GrantorStatement next) {
        if (next.complete()) {
            return next;
        }
        Set<HostId> served = new HashSet<>(old.served());
        served.addAll(next.served());
        return new GrantorStatement(next.epoch(), false, new ArrayList<>(served));
    }
}
