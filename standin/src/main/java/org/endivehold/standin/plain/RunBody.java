package org.endivehold.standin.plain;

/**
 * Body of the answer to a call that ran.
 *
 * @param service name of the upstream
 * @param run sequence number of the call, from 1
 * @param key idempotency key of the call; empty if it has none
 */
public record RunBody(String service, long run, String key) {}
