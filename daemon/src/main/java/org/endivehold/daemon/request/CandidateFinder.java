package org.endivehold.daemon.request;

import java.util.ArrayList;
import java.util.List;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Upstream;
import org.endivehold.grant.Share;
import org.endivehold.misc.VersionName;
import org.endivehold.misc.ZoneName;
import org.endivehold.placement.Candidate;

/** Joins the daemon's shares with the configuration in force: which engines may take a request now. */
final class CandidateFinder {
    /** Round trip within an availability zone, in milliseconds. */
    static final double SAME_ZONE_MILLIS = 0.5;
    /** Round trip between availability zones of a region, in milliseconds. */
    static final double OTHER_ZONE_MILLIS = 3.0;

    private final GenerationResources resources;

    /**
     * Creates a finder.
     *
     * @param resources configuration and capacity
     */
    CandidateFinder(GenerationResources resources) {
        this.resources = resources;
    }

    /**
     * Finds the engines that serve a version, take new work and have a free slot and enough free memory.
     *
     * @param version the version
     * @param memoryTokens KV memory needed, in tokens
     * @return candidates in order of names
     */
    List<Candidate> find(VersionName version, long memoryTokens) {
        List<Candidate> found = new ArrayList<>();
        for (Share share : resources.capacity().shares(resources.now())) {
            Upstream upstream = eligible(share, version);
            if (upstream != null && share.freeSlots() > 0 && share.freeMemoryTokens() >= memoryTokens) {
                found.add(candidate(share, upstream));
            }
        }
        return found;
    }

    /**
     * Finds the configured engines that serve a version and take new work, whatever is free there.
     *
     * @param version the version
     * @return the engines, in order of names
     */
    List<Upstream> serving(VersionName version) {
        Configuration configuration = resources
                .configuration()
                .current()
                .map(ConfigurationSnapshot::configuration)
                .orElse(null);
        if (configuration == null) {
            return List.of();
        }
        return configuration.upstreams().values().stream()
                .filter(u -> takesNewWork(configuration, u, version))
                .toList();
    }

    private Upstream eligible(Share share, VersionName version) {
        Configuration configuration = resources
                .configuration()
                .current()
                .map(ConfigurationSnapshot::configuration)
                .orElse(null);
        Upstream upstream =
                configuration == null ? null : configuration.upstreams().get(share.upstream());
        return upstream != null && takesNewWork(configuration, upstream, version) ? upstream : null;
    }

    private static boolean takesNewWork(Configuration configuration, Upstream upstream, VersionName version) {
        AvailabilityZone zone = configuration.zones().get(upstream.zone());
        return upstream.kind() == Upstream.Kind.ENGINE
                && upstream.state() == Upstream.State.SERVING
                && upstream.versions().contains(version)
                && zone != null
                && zone.state() == AvailabilityZone.State.IN;
    }

    private Candidate candidate(Share share, Upstream upstream) {
        return new Candidate(
                upstream.name(),
                upstream.zone(),
                share.freeSlots(),
                share.freeMemoryTokens(),
                share.usedSlots(),
                share.waitingPrefillTokens(),
                upstream.prefillTokensPerSecond(),
                0,
                distanceMillis(upstream.zone()),
                share.longAllowed());
    }

    private double distanceMillis(ZoneName zone) {
        return zone.equals(resources.context().settings().zone()) ? SAME_ZONE_MILLIS : OTHER_ZONE_MILLIS;
    }
}
