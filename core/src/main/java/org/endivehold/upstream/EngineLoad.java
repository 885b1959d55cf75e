package org.endivehold.upstream;

import java.util.List;
import java.util.Set;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.VersionName;

/**
 * Load report of an engine. It describes the state as of {@code ageMillis} ago.
 *
 * @param boot boot number, which changes with each restart of the engine
 * @param cold whether the engine reports that it is in cold start
 * @param slots maximum number of concurrent streams when warm
 * @param memoryTokens size of the KV cache memory, in tokens
 * @param usedTokens KV cache memory in use, in tokens
 * @param waitingPrefillTokens prompt tokens that are accepted but not yet prefilled
 * @param overloadEvents number of times since boot that it received more work than it has capacity for
 * @param versions loaded versions
 * @param streams running streams
 * @param caches exported caches that are not released yet
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
     * A stream that runs on the engine.
     *
     * @param stream the stream
     * @param owner the daemon process that started it
     * @param tokens KV cache memory that it occupies, in tokens
     */
    public record RunningStream(StreamId stream, ResourceOwner owner, long tokens) {}

    /**
     * An exported cache that is held on the engine.
     *
     * @param id the engine's identifier of the cache
     * @param owner the daemon process that requested it
     * @param tokens KV cache memory that it occupies, in tokens
     */
    public record HeldCache(String id, ResourceOwner owner, long tokens) {}
}
