package org.endivehold.relay.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The searches of one turn, divided among the groups of waiting requests.
 *
 * <p>Each group gets one search in turn until all are given away, so that no group waits for another one. What a group
 * has no requests for goes to the others. Example: of 8 searches, 20 short and 20 long prompts get 4 each; 20 short
 * ones and one long one get 7 and 1.
 */
final class SearchBudget {
    private final Map<PromptGroup, Integer> left = new HashMap<>();
    private final Set<PromptGroup> failed = new HashSet<>();
    private final Set<PromptGroup> succeeded = new HashSet<>();

    /**
     * Divides the searches.
     *
     * @param searches their number
     * @param sizes number of requests of each group
     * @param first position of the group that gets the first search; taken modulo the number of groups
     */
    SearchBudget(int searches, Map<PromptGroup, Integer> sizes, int first) {
        List<PromptGroup> groups = new ArrayList<>(sizes.keySet());
        int requests = sizes.values().stream().mapToInt(Integer::intValue).sum();
        int given = 0;
        for (int i = 0; given < Math.min(searches, requests); i++) {
            PromptGroup group = groups.get(Math.floorMod(first + i, groups.size()));
            if (left.getOrDefault(group, 0) < sizes.get(group)) {
                left.merge(group, 1, Integer::sum);
                given++;
            }
        }
    }

    boolean has(PromptGroup group) {
        return left.getOrDefault(group, 0) > 0;
    }

    /** Uses up one search of a group. */
    void take(PromptGroup group) {
        left.merge(group, -1, Integer::sum);
    }

    /** Notes whether a search of a group found engines. */
    void searched(PromptGroup group, boolean found) {
        (found ? succeeded : failed).add(group);
    }

    /** Returns whether engines were searched for a group and all searches found some, so that there may be more. */
    boolean mayHaveMoreRoom(PromptGroup group) {
        return succeeded.contains(group) && !failed.contains(group);
    }

    /** Returns whether a search of a group found no engines. */
    boolean hasFailed(PromptGroup group) {
        return failed.contains(group);
    }
}
