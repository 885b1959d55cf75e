package org.endivehold.config;

import java.util.Locale;
import org.endivehold.misc.Revision;

/** Names of the keys under which configurations are stored in the key-value service. */
public final class ConfigurationKeys {
    /** Key of the latest revision's record; the only key whose value is ever overwritten. */
    public static final String HEAD = "config/head";

    /** Prefix of the records of earlier revisions. */
    public static final String HISTORY = "config/history/";

    /** Prefix of the records of publishes that may still be in progress. */
    public static final String PENDING = "config/pending/";

    private ConfigurationKeys() {}

    /**
     * Returns the key of a history record. The number is zero-padded, so keys sort in the order of revisions.
     *
     * @param revision the revision
     * @return the key
     */
    public static String history(Revision revision) {
        return HISTORY + String.format(Locale.ROOT, "%019d", revision.value());
    }

    /**
     * Returns the key prefix of all chunks of a publish. It contains the parent as well: once another revision has
     * replaced the parent, an unfinished publish under this prefix can no longer take effect and can be deleted.
     *
     * @param publishId the publish
     * @param parent the revision that it replaces
     * @return the prefix
     */
    public static String chunks(String publishId, Revision parent) {
        return "config/chunk/" + publishId + "@" + parent + "/";
    }

    /**
     * Returns the key of one chunk.
     *
     * @param publishId the publish
     * @param parent the revision that it replaces
     * @param index position of the chunk, from 0
     * @return the key
     */
    public static String chunk(String publishId, Revision parent, int index) {
        return chunks(publishId, parent) + index;
    }

    /**
     * Returns the key of the pending record of a publish.
     *
     * @param publishId the publish
     * @param parent the revision that it replaces
     * @return the key
     */
    public static String pending(String publishId, Revision parent) {
        return PENDING + publishId + "@" + parent;
    }
}
