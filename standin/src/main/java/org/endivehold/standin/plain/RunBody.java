package org.endivehold.standin.plain;

/**
 * Answer to a call that ran.
 *
 * @param service the upstream
 * @param run number of calls that ran before, plus one
 * @param key idempotency key of the call, empty if none
 */
public record RunBody(String service, long run, String key) {}
