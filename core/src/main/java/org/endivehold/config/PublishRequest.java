package org.endivehold.config;

import org.endivehold.misc.Revision;

/**
 * What an operator wants to publish.
 *
 * @param configuration the whole checked set
 * @param parent the revision that the operator edited; {@link Revision#ZERO} for the first publish
 * @param publishId identifies the publish, of the form of a name; a retry has the same one
 * @param operator who publishes
 * @param publishedAtMillis wall-clock time in milliseconds since 1970; only for people
 */
public record PublishRequest(
        Configuration configuration, Revision parent, String publishId, String operator, long publishedAtMillis) {}
