package org.endivehold.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import org.endivehold.config.Route;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.request.AnswerSink;
import org.endivehold.daemon.request.GenerationCall;
import org.endivehold.daemon.request.GenerationRunner;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.ModelName;
import org.endivehold.misc.TokenCount;

/** Serves the completion calls and the call that fetches the rest of a stream. */
final class CompletionHandler {
    /** Bodies of more bytes than this are parsed on a worker thread, so that they do not hold up other streams. */
    private static final int LARGE_BODY_BYTES = 65_536;

    private final DaemonContext context;
    private final GenerationRunner runner;

    CompletionHandler(DaemonContext context, GenerationRunner runner) {
        this.context = context;
        this.runner = runner;
    }

    /**
     * Serves a completion call.
     *
     * @param exchange the request
     * @param chat whether it is a chat call
     * @param done runs when the exchange has ended
     */
    void complete(Exchange exchange, boolean chat, Runnable done) {
        exchange.body()
                .read()
                .compose(body -> parse(body, chat))
                .onSuccess(request -> submit(exchange, request, done))
                .onFailure(failure -> refuse(exchange, failure, done));
    }

    /**
     * Serves the rest of a stream.
     *
     * @param exchange the request
     * @param token the token from the first piece
     * @param done runs when the exchange has ended
     */
    void reattach(Exchange exchange, String token, Runnable done) {
        AnswerForm form = new AnswerForm(exchange.id(), new ModelName("reattached"), false);
        try {
            long offset = offset(exchange);
            AnswerSink sink = new EventStreamSink(exchange.response(), form, done);
            watch(exchange, runner.reattach(token, offset, sink));
        } catch (EndiveholdException e) {
            refuse(exchange, e, done);
        }
    }

    private Future<CompletionRequest> parse(Buffer body, boolean chat) {
        if (body.length() > LARGE_BODY_BYTES) {
            return context.vertx().executeBlocking(() -> CompletionParser.parse(body.getBytes(), chat), false);
        }
        try {
            return Future.succeededFuture(CompletionParser.parse(body.getBytes(), chat));
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
    }

    private void submit(Exchange exchange, CompletionRequest request, Runnable done) {
        try {
            GenerationCall call = call(exchange, request);
            AnswerForm form = new AnswerForm(exchange.id(), request.model(), request.chat());
            AnswerSink sink = request.stream()
                    ? new EventStreamSink(exchange.response(), form, done)
                    : new WholeAnswerSink(exchange.response(), form, done);
            watch(exchange, runner.submit(call, sink));
        } catch (EndiveholdException e) {
            refuse(exchange, e, done);
        }
    }

    private GenerationCall call(Exchange exchange, CompletionRequest request) throws EndiveholdException {
        Route route = exchange.directory().routes().generation(request.model());
        long millis = Deadline.millis(exchange.http().getHeader(Deadline.HEADER), route);
        return new GenerationCall(
                exchange.id(),
                exchange.customer().name(),
                route,
                request.prompt(),
                TokenCount.estimate(request.promptBytes()),
                request.maxTokens(),
                exchange.arrivedAt(),
                exchange.arrivedAt() + millis);
    }

    private static long offset(Exchange exchange) throws EndiveholdException {
        String text = exchange.http().getHeader("Last-Event-ID");
        if (text == null) {
            text = exchange.http().getParam("offset", "0");
        }
        try {
            return Math.max(0, Long.parseLong(text));
        } catch (NumberFormatException e) {
            throw new EndiveholdException(ErrorType.BAD_REQUEST, "the offset must be a number of tokens").causedBy(e);
        }
    }

    private static void watch(Exchange exchange, Runnable cancel) {
        exchange.response().closeHandler(closed -> cancel.run());
        exchange.response().exceptionHandler(broken -> cancel.run());
        if (exchange.response().closed()) {
            cancel.run();
        }
    }

    private static void refuse(Exchange exchange, Throwable failure, Runnable done) {
        Ending.after(Problem.send(exchange.response(), EndiveholdException.unwrap(failure), exchange.id(), 0), done);
    }
}
