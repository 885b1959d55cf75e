package org.endivehold.standin.log;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** An event in the log of a stand-in. Times are in milliseconds as given by {@link StandinLog#now}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "event")
public sealed interface StandinEvent {
    /**
     * Returns when the event happened.
     *
     * @return time in milliseconds
     */
    long at();

    /**
     * Returns which stand-in logged the event.
     *
     * @return name of the upstream
     */
    String source();

    /**
     * A stream or a call was accepted.
     *
     * @param at time in milliseconds
     * @param source name of the upstream
     * @param zone its availability zone
     * @param id id of the stream, or idempotency key of the call
     * @param owner host of the daemon that owns the stream; empty for a call
     * @param work hash of the prompt in hexadecimal, or idempotency key of the call; identifies the request that caused
     *     it
     * @param inFlight streams or calls in progress, including this one
     * @param bearable how many the upstream could run at that time without overload
     */
    record Accepted(
            long at, String source, String zone, String id, String owner, String work, int inFlight, int bearable)
            implements StandinEvent {}

    /**
     * A stream or call was accepted beyond what the upstream can run without overload.
     *
     * @param at time in milliseconds
     * @param source name of the upstream
     * @param cold whether the upstream was in cold start
     * @param inFlight streams or calls in progress, including the new one
     * @param bearable how many it could run without overload
     */
    record Overload(long at, String source, boolean cold, int inFlight, int bearable) implements StandinEvent {}

    /**
     * A stream was refused because too little KV memory was free.
     *
     * @param at time in milliseconds
     * @param source name of the upstream
     * @param id id of the stream
     * @param neededTokens KV memory that the stream needs, in tokens
     * @param freeTokens KV memory that was free, in tokens
     */
    record MemoryRefused(long at, String source, String id, long neededTokens, long freeTokens)
            implements StandinEvent {}

    /**
     * The upstream restarted into cold start.
     *
     * @param at time in milliseconds
     * @param source name of the upstream
     * @param boot boot number after the restart
     * @param fell whether overload during cold start crashed it
     * @param brokenStreams number of streams that broke
     */
    record Restarted(long at, String source, long boot, boolean fell, int brokenStreams) implements StandinEvent {}

    /**
     * A stream ended and its KV memory was released.
     *
     * @param at time in milliseconds
     * @param source name of the upstream
     * @param id id of the stream
     * @param cancelled whether it was cancelled
     * @param tokens answer tokens up to the end, including those delivered before a resumption
     */
    record Ended(long at, String source, String id, boolean cancelled, long tokens) implements StandinEvent {}

    /**
     * An order of a daemon arrived.
     *
     * @param at time in milliseconds
     * @param source name of the upstream
     * @param order kind of the order
     * @param epoch epoch of the order
     * @param highestEpoch highest epoch that the upstream had seen before
     * @param carriedOut whether the order was carried out
     */
    record Ordered(long at, String source, String order, long epoch, long highestEpoch, boolean carriedOut)
            implements StandinEvent {}

    /**
     * The text that a caller is said to have received is not what the engine produces for this prompt, or an attached
     * cache belongs to another prompt.
     *
     * @param at time in milliseconds
     * @param source name of the upstream
     * @param id id of the stream
     */
    record Crossed(long at, String source, String id) implements StandinEvent {}

    /**
     * A call to a plain service took effect.
     *
     * @param at time in milliseconds
     * @param source name of the upstream
     * @param key idempotency key of the call; empty if it has none
     * @param bodyHash SHA-256 of the body in hexadecimal
     * @param answered whether an answer was sent; false if it was lost on purpose
     */
    record Ran(long at, String source, String key, String bodyHash, boolean answered) implements StandinEvent {}
}
