package org.endivehold.config;

/**
 * A publish that took effect.
 *
 * @param head the record of the new revision
 * @param repeated whether an earlier call with the same publish id had published it already
 */
public record PublishResult(ConfigurationHead head, boolean repeated) {}
