package org.endivehold.grant;

import java.util.Arrays;
import java.util.Comparator;

/**
 * Max-min fair division: nobody gets more than it wants while another that wants more has less.
 *
 * <p>Example: 10 among wants of 1, 4 and 9 gives 1, 4 and 5. What is left when all wants are met is spread evenly, so
 * that later work finds capacity without asking.
 */
final class FairShares {
    private FairShares() {}

    /**
     * Divides.
     *
     * @param total what there is
     * @param wants what each wants
     * @param rotation where ties begin; who comes later in the rotation gets an indivisible rest
     * @return what each gets, in all {@code total} if there is anybody
     */
    static long[] divide(long total, long[] wants, int rotation) {
        int n = wants.length;
        long[] shares = new long[n];
        Integer[] order = new Integer[n];
        Arrays.setAll(order, i -> i);
        Arrays.sort(order, Comparator.<Integer>comparingLong(i -> wants[i]).thenComparingInt(i -> (i + rotation) % n));
        long left = total;
        for (int k = 0; k < n; k++) {
            int i = order[k];
            shares[i] = Math.min(wants[i], left / (n - k));
            left -= shares[i];
        }
        for (int k = 0; k < n; k++) {
            long more = left / (n - k);
            shares[order[k]] += more;
            left -= more;
        }
        return shares;
    }
}
