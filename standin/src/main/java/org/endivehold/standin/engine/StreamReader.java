package org.endivehold.standin.engine;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.StreamId;
import org.endivehold.upstream.protocol.CompletionChunk;
import org.endivehold.upstream.protocol.EnginePaths;
import org.endivehold.upstream.protocol.StartedBody;

/** Sends one generation as server-sent events; a reader that does not keep up gets larger pieces later. */
final class StreamReader {
    private final HttpServerResponse response;
    private final Generation generation;
    private long sent;

    StreamReader(HttpServerResponse response, Generation generation, long offset, BootNumber boot) {
        this.response = response;
        this.generation = generation;
        sent = offset;
        response.setChunked(true).putHeader("content-type", "text/event-stream");
        StartedBody started = new StartedBody(new StreamId(generation.id()), boot, generation.cachedTokens);
        response.write(
                Buffer.buffer("event: " + EnginePaths.STARTED + "\n").appendBuffer(EngineStandin.event(started)));
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
        if (generation.produced > sent && !response.writeQueueFull()) {
            String text = generation.truth.text(sent, generation.produced);
            int tokens = (int) (generation.produced - sent);
            response.write(EngineStandin.event(CompletionChunk.piece(generation.id(), sent, tokens, text)));
            sent = generation.produced;
        }
        if (generation.finish.isPresent() && sent >= generation.produced) {
            finish(generation.finish.get());
        }
    }

    private void finish(String reason) {
        CompletionChunk.Usage usage = new CompletionChunk.Usage(generation.promptTokens, generation.produced);
        response.write(EngineStandin.event(CompletionChunk.last(generation.id(), reason, usage)));
        response.end("data: " + EnginePaths.DONE + "\n\n");
    }
}
