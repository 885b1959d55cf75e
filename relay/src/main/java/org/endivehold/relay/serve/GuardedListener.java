package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * Passes on the notifications of an attempt, and fails the request at once if handling one of them throws: the attempt
 * notifies of nothing else then, so the caller would wait until the route's timeout.
 */
final class GuardedListener implements UpstreamAttempt.Listener {
    private final Exchange exchange;
    private final UpstreamAttempt.Listener listener;

    GuardedListener(Exchange exchange, UpstreamAttempt.Listener listener) {
        this.exchange = exchange;
        this.listener = listener;
    }

    @Override
    public void notSent(Throwable cause) {
        exchange.runGuarded(() -> listener.notSent(cause));
    }

    @Override
    public void head(AnswerFacts head, MultiMap headers) {
        exchange.runGuarded(() -> listener.head(head, headers));
    }

    @Override
    public void data(Buffer bytes) {
        exchange.runGuarded(() -> listener.data(bytes));
    }

    @Override
    public void complete() {
        exchange.runGuarded(listener::complete);
    }

    @Override
    public void broken(Throwable cause) {
        exchange.runGuarded(() -> listener.broken(cause));
    }
}
