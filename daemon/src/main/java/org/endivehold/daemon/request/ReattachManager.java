package org.endivehold.daemon.request;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;

/** Issues reattach tokens, and continues the streams that valid tokens identify. */
final class ReattachManager {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final GenerationResources resources;
    private final Optional<ReattachTokenCodec> codec;
    private final Set<ReattachedRun> running = new HashSet<>();
    private Runnable onIdle = () -> {};

    /**
     * Creates a manager, and reads the secret if the settings name a file for it.
     *
     * @param resources gives settings and engines
     * @throws EndiveholdException of type {@code SETTINGS_INVALID} if the secret cannot be read or is too short
     */
    ReattachManager(GenerationResources resources) throws EndiveholdException {
        this.resources = resources;
        Optional<String> file = resources.context().settings().callers().reattachSecretFile();
        this.codec = file.isPresent() ? Optional.of(ReattachTokenCodec.fromFile(file.get())) : Optional.empty();
    }

    /**
     * Issues the token of a stream.
     *
     * @param call the call that the stream answers
     * @param stream the stream
     * @return the signed token, or empty if no secret is configured
     */
    Optional<String> token(GenerationCall call, EngineStream stream) {
        long remainingMillis = Math.max(0, call.deadlineAt() - resources.now());
        long expiresAt = System.currentTimeMillis() + remainingMillis;
        return codec.map(c -> c.sign(new ReattachToken(
                stream.upstream(), stream.id(), call.customer(), call.route().name(), expiresAt)));
    }

    /**
     * Continues a stream.
     *
     * @param text the signed token
     * @param offset number of tokens that the caller already has
     * @param sink receives the rest of the answer
     * @return to be run when the caller disconnects: cancels the stream
     */
    Runnable reattach(String text, long offset, AnswerSink sink) {
        try {
            ReattachToken token = verified(text);
            if (offset < 0) {
                throw new EndiveholdException(ErrorType.BAD_REQUEST, "negative offset");
            }
            ReattachedRun run = new ReattachedRun(token, offset, sink, resources, this::ended);
            running.add(run);
            run.start();
            return run::cancel;
        } catch (EndiveholdException e) {
            sink.fail(e, 0);
            return () -> {};
        }
    }

    private ReattachToken verified(String text) throws EndiveholdException {
        ReattachToken token = codec.flatMap(c -> c.verify(text)).orElseThrow(() -> unknown("by this token"));
        if (token.expiresAtEpochMillis() < System.currentTimeMillis()) {
            throw unknown(token.stream().value());
        }
        return token;
    }

    private static EndiveholdException unknown(String name) {
        return new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.STREAM_UNKNOWN, name);
    }

    private void ended(ReattachedRun run) {
        running.remove(run);
        if (running.isEmpty()) {
            onIdle.run();
        }
    }

    /**
     * Returns whether no reattached stream is open.
     *
     * @return true if none is
     */
    boolean isIdle() {
        return running.isEmpty();
    }

    /**
     * Sets a handler that runs whenever the last reattached stream has ended.
     *
     * @param handler the handler
     */
    void onIdle(Runnable handler) {
        onIdle = handler;
    }

    /** Fails all reattached streams, since the daemon is shutting down. */
    void stop() {
        for (ReattachedRun run : List.copyOf(running)) {
            run.fail(new EndiveholdException(RunOutcome.PARTIAL, ErrorType.SHUTTING_DOWN), RETRY_AFTER_MILLIS);
        }
    }
}
