package org.endivehold.standin.engine;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.StreamId;
import org.endivehold.upstream.protocol.CompletionChunk;
import org.endivehold.upstream.protocol.EnginePaths;
import org.endivehold.upstream.protocol.StartedBody;

/** Writes one generation as server-sent events; a slow client receives fewer and larger chunks. */
final class StreamWriter {
    private final HttpServerResponse response;
    private final Generation generation;
    private long sentTokens;

    StreamWriter(HttpServerResponse response, Generation generation, long offset, BootNumber boot) {
        this.response = response;
        this.generation = generation;
        sentTokens = offset;
        response.setChunked(true).putHeader("content-type", "text/event-stream");
        StartedBody started = new StartedBody(new StreamId(generation.id()), boot, generation.cachedTokens);
        response.write(
                Buffer.buffer("event: " + EnginePaths.STARTED + "\n").appendBuffer(EngineStandin.encodeEvent(started)));
        response.drainHandler(ignored -> flush());
    }

    void flush() {
        if (response.ended() || response.closed()) {
            return;
        }
        if (generation.broken) {
            response.reset();
            return;
        }
        if (generation.producedTokens > sentTokens && !response.writeQueueFull()) {
            String text = generation.expectedAnswer.text(sentTokens, generation.producedTokens);
            int tokens = (int) (generation.producedTokens - sentTokens);
            response.write(EngineStandin.encodeEvent(CompletionChunk.piece(generation.id(), sentTokens, tokens, text)));
            sentTokens = generation.producedTokens;
        }
        if (generation.result.isPresent() && sentTokens >= generation.producedTokens) {
            finish(generation.result.get());
        }
    }

    private void finish(String reason) {
        CompletionChunk.Usage usage = new CompletionChunk.Usage(generation.promptTokens, generation.producedTokens);
        response.write(EngineStandin.encodeEvent(CompletionChunk.last(generation.id(), reason, usage)));
        response.end("data: " + EnginePaths.DONE + "\n\n");
    }
}
