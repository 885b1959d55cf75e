package org.endivehold.upstream;

import java.util.List;
import java.util.Optional;
import org.endivehold.misc.AdapterName;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.VersionName;

/**
 * A request to an engine to generate an answer to a prompt, or to prefill a part of one.
 *
 * @param stream identifier that the stream will have
 * @param owner the daemon process that is responsible for the stream
 * @param version the model version to run
 * @param adapter the adapter, if any
 * @param prompt the complete prompt text
 * @param delivered beginning of the answer that the caller already has; the engine continues after it
 * @param deliveredTokens number of tokens in {@code delivered}
 * @param maxTokens maximum number of tokens of the whole answer, including the delivered ones
 * @param priority scheduling priority; a larger number is more urgent
 * @param attached exported caches of preceding parts of the prompt, in order
 */
public record GenerateRequest(
        StreamId stream,
        ResourceOwner owner,
        VersionName version,
        Optional<AdapterName> adapter,
        String prompt,
        String delivered,
        long deliveredTokens,
        int maxTokens,
        int priority,
        List<CacheHandle> attached) {
    /**
     * Creates a builder with an empty prompt, at most 16 tokens, priority 0 and no caches attached.
     *
     * @param stream identifier that the stream will have
     * @param owner the daemon process that is responsible for it
     * @param version the model version to run
     * @return a builder
     */
    public static Builder builder(StreamId stream, ResourceOwner owner, VersionName version) {
        return new Builder(stream, owner, version);
    }

    /** Builder of {@link GenerateRequest}. */
    public static final class Builder {
        private static final int DEFAULT_MAX_TOKENS = 16;

        private final StreamId stream;
        private final ResourceOwner owner;
        private final VersionName version;
        private Optional<AdapterName> adapter = Optional.empty();
        private String prompt = "";
        private String delivered = "";
        private long deliveredTokens;
        private int maxTokens = DEFAULT_MAX_TOKENS;
        private int priority;
        private List<CacheHandle> attached = List.of();

        private Builder(StreamId stream, ResourceOwner owner, VersionName version) {
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
         * @param value the complete text
         * @return this
         */
        public Builder prompt(String value) {
            prompt = value;
            return this;
        }

        /**
         * Sets the beginning of the answer that the caller already has.
         *
         * @param text the text
         * @param tokens its length in tokens
         * @return this
         */
        public Builder delivered(String text, long tokens) {
            delivered = text;
            deliveredTokens = tokens;
            return this;
        }

        /**
         * Sets the maximum length of the whole answer.
         *
         * @param value tokens, including the delivered ones
         * @return this
         */
        public Builder maxTokens(int value) {
            maxTokens = value;
            return this;
        }

        /**
         * Sets the priority.
         *
         * @param value a larger number is more urgent
         * @return this
         */
        public Builder priority(int value) {
            priority = value;
            return this;
        }

        /**
         * Attaches exported caches of preceding parts of the prompt.
         *
         * @param value cache handles, in the order of the parts
         * @return this
         */
        public Builder attached(List<CacheHandle> value) {
            attached = List.copyOf(value);
            return this;
        }

        /**
         * Builds the request; field values are not validated here.
         *
         * @return the request
         */
        public GenerateRequest build() {
            return new GenerateRequest(
                    stream, owner, version, adapter, prompt, delivered, deliveredTokens, maxTokens, priority, attached);
        }
    }
}
