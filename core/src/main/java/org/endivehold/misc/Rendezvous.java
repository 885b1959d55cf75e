package org.endivehold.misc;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous hashing: which of several members are chosen for a key, without a word between them.
 *
 * <p>Each member has a rank for each key that depends on nothing but the two names. Members that know of the same
 * others choose the same ones; a member that comes or goes changes the choice for few keys.
 */
public final class Rendezvous {
    private Rendezvous() {}

    /**
     * Returns the rank of a member for a key; the highest is chosen first.
     *
     * @param member name of the member
     * @param key the key
     * @return a number spread evenly over all integers
     */
    public static int rank(String member, String key) {
        return MurmurHash3.hash32x86((member + '/' + key).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Tells whether a member is among those that are chosen for a key.
     *
     * @param member name of the member
     * @param members names of all members; whether the member itself is among them makes no difference
     * @param key the key
     * @param count how many are chosen
     * @return whether fewer than {@code count} other members have a higher rank
     */
    public static boolean chosen(String member, Collection<String> members, String key, int count) {
        int own = rank(member, key);
        long higher = members.stream()
                .filter(other -> !other.equals(member) && rank(other, key) > own)
                .count();
        return higher < count;
    }
}
