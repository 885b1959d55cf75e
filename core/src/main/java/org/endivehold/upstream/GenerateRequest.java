package org.endivehold.upstream;

import java.util.List;
import java.util.Optional;
import org.endivehold.misc.AdapterName;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.VersionName;

/**
 * A prompt for an engine.
 *
 * @param stream the identifier under which the stream will run
 * @param owner the daemon that answers for the stream
 * @param version the version that has to answer
 * @param adapter the adapter, if any
 * @param prompt the whole prompt text
 * @param delivered text of the answer that the caller already has; the engine goes on after it
 * @param deliveredTokens number of tokens in {@code delivered}
 * @param maxTokens most tokens of the whole answer, including the delivered ones
 * @param priority larger is more urgent
 * @param attached caches of earlier parts of the prompt, in order
 */
public record GenerateRequest(
        StreamId stream,
        StreamOwner owner,
        VersionName version,
        Optional<AdapterName> adapter,
        String prompt,
        String delivered,
        long deliveredTokens,
        int maxTokens,
        int priority,
        List<CacheHandle> attached) {
    /**
     * Starts a builder with an empty prompt, sixteen tokens, priority zero and nothing attached.
     *
     * @param stream the stream
     * @param owner its owner
     * @param version the version
     * @return a builder
     */
    public static Builder builder(StreamId stream, StreamOwner owner, VersionName version) {
        return new Builder(stream, owner, version);
    }

    /** Builds a {@link GenerateRequest}. */
    public static final class Builder {
        private static final int DEFAULT_MAX_TOKENS = 16;

        private final StreamId stream;
        private final StreamOwner owner;
        private final VersionName version;
        private Optional<AdapterName> adapter = Optional.empty();
        private String prompt = "";
        private String delivered = "";
        private long deliveredTokens;
        private int maxTokens = DEFAULT_MAX_TOKENS;
        private int priority;
        private List<CacheHandle> attached = List.of();

        private Builder(StreamId stream, StreamOwner owner, VersionName version) {
            this.stream = stream;
            this.owner = owner;
            this.version = version;
        }

        /**
         * Sets the adapter.
         *
         * @param value the adapter
         * @return this
         */
        public Builder adapter(AdapterName value) {
            adapter = Optional.of(value);
            return this;
        }

        /**
         * Sets the prompt.
         *
         * @param value the whole text
         * @return this
         */
        public Builder prompt(String value) {
            prompt = value;
            return this;
        }

        /**
         * Sets what the caller already has.
         *
         * @param text the text
         * @param tokens its tokens
         * @return this
         */
        public Builder delivered(String text, long tokens) {
            delivered = text;
            deliveredTokens = tokens;
            return this;
        }

        /**
         * Sets the longest answer.
         *
         * @param value tokens
         * @return this
         */
        public Builder maxTokens(int value) {
            maxTokens = value;
            return this;
        }

        /**
         * Sets the priority.
         *
         * @param value larger is more urgent
         * @return this
         */
        public Builder priority(int value) {
            priority = value;
            return this;
        }

        /**
         * Attaches exported caches.
         *
         * @param value handles, in the order of the prompt
         * @return this
         */
        public Builder attached(List<CacheHandle> value) {
            attached = List.copyOf(value);
            return this;
        }

        /**
         * Builds the request.
         *
         * @return the request
         */
        public GenerateRequest build() {
            return new GenerateRequest(
                    stream, owner, version, adapter, prompt, delivered, deliveredTokens, maxTokens, priority, attached);
        }
    }
}
