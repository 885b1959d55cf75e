package org.endivehold.daemon.request;

import java.util.concurrent.CompletableFuture;
import org.endivehold.error.EndiveholdException;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamPiece;

/** Records what a caller would receive, and checks that pieces arrive in order without gaps. */
final class RecordingSink implements AnswerSink {
    final CompletableFuture<StreamEnd> done = new CompletableFuture<>();
    final StringBuilder text = new StringBuilder();
    String token;
    long retryAfterMillis = -1;
    long nextOffset;
    int ends;

    RecordingSink() {}

    RecordingSink(long offset) {
        nextOffset = offset;
    }

    @Override
    public void reattachToken(String value) {
        token = value;
    }

    @Override
    public void piece(StreamPiece piece) {
        if (piece.offset() != nextOffset) {
            done.completeExceptionally(new AssertionError("piece at " + piece.offset() + ", expected " + nextOffset));
        }
        nextOffset += piece.tokens();
        text.append(piece.text());
    }

    @Override
    public void end(StreamEnd end) {
        ends++;
        done.complete(end);
    }

    @Override
    public void fail(EndiveholdException failure, long retryAfter) {
        ends++;
        retryAfterMillis = retryAfter;
        done.completeExceptionally(failure);
    }
}
