package org.endivehold.grant;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The grantor of each group, as far as this daemon knows; a higher epoch replaces a lower one. */
public final class GrantorTable {
    private final Map<Integer, GroupGrantor> byGroup = new TreeMap<>();
    private final GrantGroups groups;

    /**
     * Creates an empty table.
     *
     * @param groups the groups
     */
    public GrantorTable(GrantGroups groups) {
        this.groups = groups;
    }

    /**
     * Learns of a grantor.
     *
     * @param grantor the grantor
     */
    public void learn(GroupGrantor grantor) {
        GroupGrantor known = byGroup.get(grantor.group());
        boolean valid = grantor.group() >= 0 && grantor.group() < groups.count();
        if (valid && (known == null || known.epoch().compareTo(grantor.epoch()) < 0)) {
            byGroup.put(grantor.group(), grantor);
        }
    }

    /**
     * Finds the grantor of a group.
     *
     * @param group the group
     * @return the grantor, or empty if none is known
     */
    public Optional<GroupGrantor> find(int group) {
        return Optional.ofNullable(byGroup.get(group));
    }

    /**
     * Returns all that is known.
     *
     * @return the grantors, in order of groups
     */
    public List<GroupGrantor> all() {
        return List.copyOf(byGroup.values());
    }

    /**
     * Tells whether every group has a known grantor.
     *
     * @return false if one is unknown
     */
    public boolean isFull() {
        return byGroup.size() == groups.count();
    }
}
