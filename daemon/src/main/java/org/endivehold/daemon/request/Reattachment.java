package org.endivehold.daemon.request;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;

/** Makes reattach tokens, and goes on with the streams that they name. */
final class Reattachment {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final GenerationResources resources;
    private final Optional<ReattachTokens> tokens;
    private final Set<ReattachedRun> running = new HashSet<>();
    private Runnable onIdle = () -> {};

    /**
     * Reads the secret, if the settings name one.
     *
     * @param resources settings, engines and capacity
     * @throws EndiveholdException of type {@code SETTINGS_INVALID} if the secret cannot be read or is too short
     */
    Reattachment(GenerationResources resources) throws EndiveholdException {
        this.resources = resources;
        Optional<String> file = resources.context().settings().callers().reattachSecretFile();
        this.tokens = file.isPresent() ? Optional.of(ReattachTokens.fromFile(file.get())) : Optional.empty();
    }

    /**
     * Makes the token of a stream.
     *
     * @param call the call that the stream answers
     * @param stream the stream
     * @return the token, or empty if there is no secret
     */
    Optional<String> token(GenerationCall call, EngineStream stream) {
        long left = Math.max(0, call.deadlineAt() - resources.now());
        long expiresAt = System.currentTimeMillis() + left;
        return tokens.map(t -> t.sign(new ReattachToken(
                stream.upstream(), stream.id(), call.customer(), call.route().name(), expiresAt)));
    }

    /**
     * Goes on with a stream.
     *
     * @param text the token
     * @param offset tokens that the caller already has
     * @param sink gets the rest
     * @return cancels
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
        ReattachToken token = tokens.flatMap(t -> t.verify(text)).orElseThrow(() -> unknown("this token"));
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
     * Tells whether no reattached stream runs.
     *
     * @return true if none does
     */
    boolean isIdle() {
        return running.isEmpty();
    }

    /**
     * Sets what runs whenever the last reattached stream has ended.
     *
     * @param step the step
     */
    void onIdle(Runnable step) {
        onIdle = step;
    }

    /** Ends all reattached streams. */
    void stop() {
        for (ReattachedRun run : List.copyOf(running)) {
            run.fail(new EndiveholdException(RunOutcome.PARTIAL, ErrorType.SHUTTING_DOWN), RETRY_AFTER_MILLIS);
        }
    }
}
