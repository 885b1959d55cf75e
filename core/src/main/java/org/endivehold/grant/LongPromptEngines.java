package org.endivehold.grant;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivehold.config.Upstream;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;

/**
 * Chooses the engines that long prompts may go to, so that the others stay free of them. Of the engines that serve a
 * version, two thirds take long prompts, and at least three; every daemon chooses the same ones, from the names alone.
 */
final class LongPromptEngines {
    private static final int LEAST = 3;

    private LongPromptEngines() {}

    /** Returns the engines among the serving upstreams that long prompts may go to. */
    static Set<UpstreamName> of(Collection<Upstream> serving) {
        Map<VersionName, List<UpstreamName>> byVersion = new TreeMap<>(Comparator.comparing(VersionName::value));
        for (Upstream upstream : serving) {
            for (VersionName version : upstream.versions()) {
                byVersion.computeIfAbsent(version, v -> new ArrayList<>()).add(upstream.name());
            }
        }
        Set<UpstreamName> chosen = new HashSet<>();
        GrantGroups order = new GrantGroups(Integer.MAX_VALUE);
        for (List<UpstreamName> names : byVersion.values()) {
            names.sort(Comparator.<UpstreamName>comparingInt(order::of).thenComparing(Comparator.naturalOrder()));
            int count = Math.max(LEAST, (2 * names.size() + 2) / 3);
            chosen.addAll(names.subList(0, Math.min(count, names.size())));
        }
        return chosen;
    }
}
