package org.endivehold.grant;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;
import org.endivehold.misc.HostId;

/**
 * Spreads groups over daemons by rendezvous hashing: each daemon scores each group, and the highest score is the first
 * to try for its lease. When a daemon comes or goes, only its own groups move. A hint: who holds a group is decided by
 * the key-value service alone.
 */
public final class GroupPlacement {
    private GroupPlacement() {}

    /**
     * Orders daemons by how early they should try for a group.
     *
     * @param group the group
     * @param hosts the daemons
     * @return the daemons, the first to try first
     */
    public static List<HostId> order(int group, Collection<HostId> hosts) {
        return hosts.stream()
                .distinct()
                .sorted(Comparator.<HostId>comparingLong(host -> score(group, host))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static long score(int group, HostId host) {
        byte[] bytes = (group + "/" + host).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(bytes) & 0xFFFF_FFFFL;
    }
}
