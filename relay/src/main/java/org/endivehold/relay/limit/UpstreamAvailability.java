package org.endivehold.relay.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.endivehold.relay.route.UpstreamEntry;

/**
 * Decides whether an upstream may get new work, and if not, why.
 *
 * <p>The reasons come from different sources: the store's entry of the upstream, the operators, the upstream's own
 * responses, and failures that daemons observed. The first that applies is reported, in the order of
 * {@link Unavailability}. Work that already runs at an upstream is not affected.
 *
 * <p>That an upstream leaves is remembered for one start of it, since other sources may be older than its own word: the
 * store may be unreachable, or restored from a copy in which the upstream still served. Example: {@code i-7} says that
 * it leaves and its entry still says that it serves; it gets no new work until an entry shows a later start of
 * {@code i-7}.
 */
public final class UpstreamAvailability {
    /** Longest time for which an upstream can ask for a pause, in milliseconds; a malformed answer may ask for more. */
    private static final double MAX_BACKOFF_MILLIS = 60_000;
    /** Upstreams whose leaving is remembered; the oldest are forgotten first, long after they have ended. */
    private static final int MAX_REMEMBERED = 4_096;

    private final UpstreamHealth health;
    private final UpstreamRateLimits limits;
    private final Set<String> evacuatedZones = new HashSet<>();
    private final Map<String, Double> backoffUntil = new HashMap<>();
    private final Map<String, Long> leavingStartedAt = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    /** Creates it; ejections are those of {@code health}, and rates those of {@code limits}. */
    public UpstreamAvailability(UpstreamHealth health, UpstreamRateLimits limits) {
        this.health = health;
        this.limits = limits;
    }

    /** Returns the reason for which an upstream may not get new work at a time in milliseconds; empty if it may. */
    public Optional<Unavailability> reason(UpstreamEntry entry, double now) {
        if (isLeaving(entry)) {
            return Optional.of(Unavailability.LEAVING);
        }
        if (evacuatedZones.contains(entry.zone())) {
            return Optional.of(Unavailability.EVACUATED);
        }
        if (backoffMillis(entry.id(), now) > 0) {
            return Optional.of(Unavailability.BACKING_OFF);
        }
        if (limits.waitMillis(entry, now) > 0) {
            return Optional.of(Unavailability.RATE_LIMITED);
        }
        return health.ejected(entry.id(), now) ? Optional.of(Unavailability.EJECTED) : Optional.empty();
    }

    /** Returns whether an upstream must not get new work, even if there is no other. */
    public boolean isBarred(UpstreamEntry entry, double now) {
        return reason(entry, now).filter(Unavailability::isBinding).isPresent();
    }

    /** Returns whether an upstream serves for the whole fleet: it does not leave, and its zone is not evacuated. */
    public boolean isInService(UpstreamEntry entry) {
        return !isLeaving(entry) && !evacuatedZones.contains(entry.zone());
    }

    private boolean isLeaving(UpstreamEntry entry) {
        Long startedAt = leavingStartedAt.get(entry.id());
        return entry.leaving() || (startedAt != null && startedAt == entry.startedAtMillis());
    }

    /** Records that an upstream leaves; returns whether that is new for this start of it. */
    public boolean markLeaving(String upstream, long startedAtMillis) {
        Long known = leavingStartedAt.put(upstream, startedAtMillis);
        return known == null || known != startedAtMillis;
    }

    /** Records that operators evacuate an availability zone. */
    public void evacuate(String zone) {
        evacuatedZones.add(zone);
    }

    /** Records that operators took an availability zone back. */
    public void takeBack(String zone) {
        evacuatedZones.remove(zone);
    }

    /** Records that an upstream asked this daemon to send nothing for a time in milliseconds. */
    public void backOff(String upstream, double millis, double now) {
        backoffUntil.merge(upstream, now + Math.min(millis, MAX_BACKOFF_MILLIS), Math::max);
    }

    /**
     * Returns the time for which an upstream wants nothing from this daemon, since it asked for a pause or its limit is
     * used up, in milliseconds; 0 if it may get a request now.
     */
    public double pauseMillis(UpstreamEntry entry, double now) {
        return Math.max(backoffMillis(entry.id(), now), limits.waitMillis(entry, now));
    }

    private double backoffMillis(String upstream, double now) {
        return Math.max(0, backoffUntil.getOrDefault(upstream, now) - now);
    }

    /** Forgets what an earlier start of an upstream asked for. */
    public void restarted(String upstream) {
        backoffUntil.remove(upstream);
    }

    /** Forgets the pauses and limits of all upstreams that are not among the given ids. */
    public void retain(Collection<String> upstreams) {
        limits.retain(upstreams);
        backoffUntil.keySet().retainAll(upstreams);
    }
}
