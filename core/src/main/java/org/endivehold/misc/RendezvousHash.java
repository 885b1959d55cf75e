package org.endivehold.misc;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous hashing: chooses some of several members for a key without communication between them.
 *
 * <p>Each member has a rank for each key that depends only on the names of the two. Members that know the same set of
 * members choose the same ones, and a member that is added or removed changes the choice for few keys only.
 */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns the rank of a member for a key; the highest is chosen first.
     *
     * @param member name of the member
     * @param key the key
     * @return the rank, evenly distributed over all integers
     */
    public static int rank(String member, String key) {
        return MurmurHash3.hash32x86((member + '/' + key).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns whether a member is among those that are chosen for a key.
     *
     * @param member name of the member
     * @param members names of all known members, with or without the member itself
     * @param key the key
     * @param count number of members to choose
     * @return true if fewer than {@code count} other members have a higher rank
     */
    public static boolean chosen(String member, Collection<String> members, String key, int count) {
        return position(member, members, key) < count;
    }

    /**
     * Returns the position of a member in the order of the ranks.
     *
     * @param member name of the member
     * @param members names of all known members, with or without the member itself
     * @param key the key
     * @return number of other members that have a higher rank
     */
    public static int position(String member, Collection<String> members, String key) {
        int own = rank(member, key);
        return (int) members.stream()
                .filter(other -> !other.equals(member) && rank(other, key) > own)
                .count();
    }
}
