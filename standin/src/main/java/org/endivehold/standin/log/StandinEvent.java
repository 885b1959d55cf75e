package org.endivehold.standin.log;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One thing that a stand-in did. Times are milliseconds of {@link StandinLog#now}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "event")
public sealed interface StandinEvent {
    /**
     * Returns when it happened.
     *
     * @return milliseconds
     */
    long at();

    /**
     * Returns who did it.
     *
     * @return name of the upstream or of the stand-in
     */
    String source();

    /**
     * A stream or a call was accepted.
     *
     * @param at when
     * @param source the upstream
     * @param zone its availability zone
     * @param id the stream or the call's key
     * @param owner host of the daemon, empty for a call
     * @param work hash of the prompt in hexadecimal, or the call's key: finds the request that caused it
     * @param inFlight streams or calls in progress, with this one
     * @param bearable how many the upstream could bear then
     */
    record Accepted(
            long at, String source, String zone, String id, String owner, String work, int inFlight, int bearable)
            implements StandinEvent {}

    /**
     * More work arrived than the upstream could bear.
     *
     * @param at when
     * @param source the upstream
     * @param cold whether it was in cold start
     * @param inFlight streams or calls in progress
     * @param bearable how many it could bear
     */
    record Overload(long at, String source, boolean cold, int inFlight, int bearable) implements StandinEvent {}

    /**
     * Work was refused for want of memory.
     *
     * @param at when
     * @param source the upstream
     * @param id the stream
     * @param neededTokens memory that it needed
     * @param freeTokens memory that was free
     */
    record MemoryRefused(long at, String source, String id, long neededTokens, long freeTokens)
            implements StandinEvent {}

    /**
     * The upstream started again, cold.
     *
     * @param at when
     * @param source the upstream
     * @param boot the new boot number
     * @param fell whether it fell over under load
     * @param brokenStreams streams that broke
     */
    record Restarted(long at, String source, long boot, boolean fell, int brokenStreams) implements StandinEvent {}

    /**
     * A stream ended and its memory is free.
     *
     * @param at when
     * @param source the upstream
     * @param id the stream
     * @param cancelled whether it was cancelled
     * @param tokens tokens that it had produced
     */
    record Ended(long at, String source, String id, boolean cancelled, long tokens) implements StandinEvent {}

    /**
     * An order arrived.
     *
     * @param at when
     * @param source the upstream
     * @param order what it asks
     * @param epoch its fencing number
     * @param highestEpoch highest fencing number seen before
     * @param carriedOut whether it was carried out
     */
    record Ordered(long at, String source, String order, long epoch, long highestEpoch, boolean carriedOut)
            implements StandinEvent {}

    /**
     * The text that a caller was said to have is not what the engine would have produced, or an attached cache is not
     * of this prompt.
     *
     * @param at when
     * @param source the upstream
     * @param id the stream
     */
    record Crossed(long at, String source, String id) implements StandinEvent {}

    /**
     * A call to a plain service took effect.
     *
     * @param at when
     * @param source the upstream
     * @param key idempotency key, empty if none
     * @param bodyHash hash of the body
     * @param answered whether the answer was sent
     */
    record Ran(long at, String source, String key, String bodyHash, boolean answered) implements StandinEvent {}
}
