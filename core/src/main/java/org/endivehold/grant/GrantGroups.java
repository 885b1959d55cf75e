package org.endivehold.grant;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import org.endivehold.misc.UpstreamName;

/**
 * The fixed number of groups into which upstreams are hashed; each group has one grantor at a time.
 *
 * @param count number of groups, the same at every daemon
 */
public record GrantGroups(int count) {
    /** Checks that there is a group. */
    public GrantGroups {
        if (count < 1) {
            throw new IllegalArgumentException("no groups");
        }
    }

    /**
     * Finds the group of an upstream.
     *
     * @param upstream the upstream
     * @return a number from 0 to {@code count - 1}
     */
    public int of(UpstreamName upstream) {
        byte[] bytes = upstream.value().getBytes(StandardCharsets.UTF_8);
        return Math.floorMod(MurmurHash3.hash32x86(bytes), count);
    }
}
