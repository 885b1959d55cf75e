package org.endivehold.config;

/**
 * Result of a publish that took effect.
 *
 * @param head the record of the new revision
 * @param repeated true if an earlier call with the same publish id had already published it
 */
public record PublishResult(RevisionRecord head, boolean repeated) {}
