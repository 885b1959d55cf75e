package org.endivehold.daemon.request;

import java.util.concurrent.CompletableFuture;
import org.endivehold.error.EndiveholdException;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamPiece;

/** Keeps what a caller would get, and checks that pieces come in order without gap. */
final class RecordingSink implements AnswerSink {
    final CompletableFuture<StreamEnd> done = new CompletableFuture<>();
    final StringBuilder text = new StringBuilder();
    String token;
    long retryAfterMillis = -1;
    long next;
    int ends;

    RecordingSink() {}

    RecordingSink(long offset) {
        next = offset;
    }

    @Override
    public void reattachToken(String value) {
        token = value;
    }

    @Override
    public void piece(StreamPiece piece) {
        if (piece.offset() != next) {
            done.completeExceptionally(new AssertionError("piece at " + piece.offset() + ", expected " + next));
        }
        next += piece.tokens();
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
