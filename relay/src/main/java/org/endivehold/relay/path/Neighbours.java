package org.endivehold.relay.path;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerMessage;
import org.jboss.logging.Logger;

/**
 * Chooses the daemon by way of which a request is sent that this daemon cannot deliver.
 *
 * <p>Daemons tell each other which services they do not reach, at each change and again every few seconds while it
 * lasts, so that a lost message matters for as long only. Of those that reach the service, the one with the least
 * requests of this daemon is chosen, and one in the same availability zone before others.
 */
public final class Neighbours {
    /** Interval at which lost services are reported again, in milliseconds. */
    private static final double REPEAT_MILLIS = 3_000;
    /** Time after which a report of lost services no longer counts, in milliseconds; two repeats may be lost. */
    private static final double EXPIRY_MILLIS = 3 * REPEAT_MILLIS + 500;
    /** Time for which a daemon that declined a request or did not answer is not asked again, in milliseconds. */
    private static final double PAUSE_MILLIS = 500;
    /** Cost of another availability zone, in requests in progress. */
    private static final double OTHER_ZONE_COST = 3;

    private static final Logger log = Logger.getLogger(Neighbours.class);

    private final Ticker ticker;
    private final UniformRandomProvider random;
    private final PathPeers peers;
    private final Map<String, Report> reports = new HashMap<>();
    private final Map<String, Integer> inProgress = new HashMap<>();
    private final Map<String, Double> pausedUntil = new HashMap<>();
    private Set<String> ownLost = Set.of();
    private long ownNumber;
    private double ownReportedAt;

    private record Report(long number, Set<String> lost, double at) {}

    /** Creates it without reports of other daemons. */
    public Neighbours(Ticker ticker, UniformRandomProvider random, PathPeers peers) {
        this.ticker = ticker;
        this.random = random;
        this.peers = peers;
    }

    private double now() {
        return (double) ticker.millis();
    }

    /** Returns this daemon. */
    public DaemonEntry self() {
        return peers.self();
    }

    /** Tells the other daemons which services this one does not reach. */
    public void report(Set<String> lostServices) {
        ownLost = Set.copyOf(lostServices);
        ownNumber++;
        ownReportedAt = now();
        peers.spread(ownReport());
    }

    private PeerMessage.PathsReported ownReport() {
        return new PeerMessage.PathsReported(peers.self().name(), ownNumber, List.copyOf(ownLost));
    }

    /** Reports again while services are lost, and forgets old reports. */
    public void runMaintenance() {
        reports.values().removeIf(report -> now() - report.at() > EXPIRY_MILLIS);
        pausedUntil.values().removeIf(until -> until < now());
        if (!ownLost.isEmpty() && now() - ownReportedAt >= REPEAT_MILLIS) {
            report(ownLost);
        }
    }

    /** Returns this daemon's report, for one that has just connected; none if it reaches all services. */
    public List<PeerMessage> knowledge() {
        return ownLost.isEmpty() ? List.of() : List.of(ownReport());
    }

    /** Handles a message of another daemon, and passes news on; returns false if it does not concern paths. */
    public boolean handle(PeerMessage message) {
        if (!(message instanceof PeerMessage.PathsReported theirs)) {
            return false;
        }
        Report known = reports.get(theirs.daemon());
        boolean own = theirs.daemon().equals(peers.self().name());
        if (own || (known != null && known.number() >= theirs.number())) {
            return true;
        }
        Set<String> lost = Set.copyOf(theirs.lostServices());
        if (!lost.equals(known == null ? Set.of() : known.lost())) {
            LogEvent.of("peer-paths")
                    .with("peer", theirs.daemon())
                    .with("lost", String.join(",", lost))
                    .info(log);
        }
        reports.put(theirs.daemon(), new Report(theirs.number(), lost, now()));
        peers.passOn(theirs);
        return true;
    }

    /** Returns a daemon that reaches a service, other than some that were asked; empty if none is known. */
    public Optional<DaemonEntry> choose(String service, Collection<String> asked) {
        return peers.others().stream()
                .filter(daemon -> !asked.contains(daemon.name()))
                .filter(daemon -> pausedUntil.getOrDefault(daemon.name(), 0.0) <= now())
                .filter(daemon -> !isLostAt(daemon.name(), service))
                .map(daemon -> Map.entry(daemon, cost(daemon)))
                .min(Comparator.comparingDouble(Map.Entry::getValue))
                .map(Map.Entry::getKey);
    }

    private boolean isLostAt(String daemon, String service) {
        Report report = reports.get(daemon);
        return report != null
                && now() - report.at() <= EXPIRY_MILLIS
                && report.lost().contains(service);
    }

    private double cost(DaemonEntry daemon) {
        double zone = daemon.zone().equals(peers.self().zone()) ? 0 : OTHER_ZONE_COST;
        return inProgress.getOrDefault(daemon.name(), 0) / daemon.capacity() + zone + random.nextDouble();
    }

    /** Records that a request is sent by way of a daemon. */
    public void begun(String daemon) {
        inProgress.merge(daemon, 1, Integer::sum);
    }

    /** Records that such a request has ended. */
    public void ended(String daemon) {
        inProgress.computeIfPresent(daemon, (name, count) -> count <= 1 ? null : count - 1);
    }

    /** Records that a daemon declined a request, or did not answer. */
    public void declined(String daemon) {
        pausedUntil.put(daemon, now() + PAUSE_MILLIS);
    }
}
