package org.endivehold.upstream;

import java.util.List;
import java.util.Set;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.VersionName;

/**
 * A load report of an engine, as old as its lag.
 *
 * @param boot boot number
 * @param cold whether the engine says that it is in cold start
 * @param slots streams that it can run at once when warm
 * @param memoryTokens KV memory in tokens
 * @param usedTokens KV memory in use, in tokens
 * @param waitingPrefillTokens prompt tokens accepted and not yet prefilled
 * @param overloadEvents number of times since boot that it got more work than it could bear
 * @param versions versions that it has loaded
 * @param streams what it runs
 * @param caches what it keeps exported
 * @param ageMillis age of the report in milliseconds
 */
public record EngineLoad(
        BootNumber boot,
        boolean cold,
        int slots,
        long memoryTokens,
        long usedTokens,
        long waitingPrefillTokens,
        long overloadEvents,
        Set<VersionName> versions,
        List<RunningStream> streams,
        List<HeldCache> caches,
        long ageMillis) {
    /**
     * One stream that the engine runs.
     *
     * @param stream the stream
     * @param owner its owner
     * @param tokens memory that it occupies
     */
    public record RunningStream(StreamId stream, StreamOwner owner, long tokens) {}

    /**
     * One exported cache.
     *
     * @param id the engine's identifier
     * @param owner its owner
     * @param tokens memory that it occupies
     */
    public record HeldCache(String id, StreamOwner owner, long tokens) {}
}
