package org.endivehold.upstream.protocol;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.List;
import java.util.Optional;
import org.endivehold.misc.AdapterName;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.VersionName;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.GenerateRequest;
import org.endivehold.upstream.ResourceOwner;

/**
 * Request body of {@code POST /v1/completions} and {@code POST /control/prefill}; JSON field names are in snake case.
 *
 * @param model the model version to run
 * @param prompt the complete prompt; for a prefill, the part to compute
 * @param maxTokens maximum number of tokens of the whole answer
 * @param stream whether to answer with server-sent events; always true
 * @param priority a larger number is more urgent
 * @param streamId identifier that the stream will have
 * @param owner the daemon process that owns it
 * @param adapter the adapter, if any
 * @param delivered beginning of the answer that the caller already has
 * @param deliveredTokens number of tokens in {@code delivered}
 * @param attached exported caches of preceding parts of the prompt, in order
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record CompletionBody(
        VersionName model,
        String prompt,
        int maxTokens,
        boolean stream,
        int priority,
        StreamId streamId,
        ResourceOwner owner,
        Optional<AdapterName> adapter,
        String delivered,
        long deliveredTokens,
        List<CacheHandle> attached) {
    /**
     * Creates the body for a request.
     *
     * @param request the request
     * @return its body
     */
    public static CompletionBody of(GenerateRequest request) {
        return new CompletionBody(
                request.version(),
                request.prompt(),
                request.maxTokens(),
                true,
                request.priority(),
                request.stream(),
                request.owner(),
                request.adapter(),
                request.delivered(),
                request.deliveredTokens(),
                request.attached());
    }
}
