package org.endivehold.config;

import org.endivehold.misc.Revision;

/**
 * An operator's request to publish a configuration.
 *
 * @param configuration the complete, validated configuration
 * @param parent the revision that the operator edited; {@link Revision#ZERO} for the first publish
 * @param publishId identifies the publish and has to be a valid name; a retry sends the same one
 * @param operator name of the person who publishes
 * @param publishedAtMillis wall-clock time in milliseconds since 1970; for display only
 */
public record PublishRequest(
        Configuration configuration, Revision parent, String publishId, String operator, long publishedAtMillis) {}
