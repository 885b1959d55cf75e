package org.endivehold.config;

import java.util.Locale;
import org.endivehold.misc.Revision;

/** Names of the keys under which the key-value service holds configurations. */
public final class ConfigurationKeys {
    /** The latest revision; the only key whose value changes. */
    public static final String HEAD = "config/head";

    /** Prefix of the records of earlier revisions. */
    public static final String HISTORY = "config/history/";

    /** Prefix of the records of publishes that may still be under way. */
    public static final String PENDING = "config/pending/";

    private ConfigurationKeys() {}

    /**
     * Returns the key of a record of history; keys sort as their revisions.
     *
     * @param revision the revision
     * @return the key
     */
    public static String history(Revision revision) {
        return HISTORY + String.format(Locale.ROOT, "%019d", revision.value());
    }

    /**
     * Returns the prefix of all chunks of a publish. It holds the parent as well: once another revision replaced the
     * parent, nothing under the prefix can come into force any more, so it may be deleted.
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
     * Returns the key of the record of a publish under way.
     *
     * @param publishId the publish
     * @param parent the revision that it replaces
     * @return the key
     */
    public static String pending(String publishId, Revision parent) {
        return PENDING + publishId + "@" + parent;
    }
}
