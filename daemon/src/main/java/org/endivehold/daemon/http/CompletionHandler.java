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

/** Serves completion requests and requests for the rest of a stream. */
final class CompletionHandler {
    /** Larger bodies, in bytes, are parsed on a worker thread, so that they do not block the event loop. */
    private static final int WORKER_PARSE_THRESHOLD_BYTES = 65_536;

    private final DaemonContext context;
    private final GenerationRunner runner;

    CompletionHandler(DaemonContext context, GenerationRunner runner) {
        this.context = context;
        this.runner = runner;
    }

    /**
     * Serves a completion request.
     *
     * @param exchange the request
     * @param chat whether it is a chat completion request
     * @param done called when the exchange has ended
     */
    void complete(Exchange exchange, boolean chat, Runnable done) {
        exchange.body()
                .read()
                .compose(body -> parse(body, chat))
                .onSuccess(request -> submit(exchange, request, done))
                .onFailure(failure -> sendError(exchange, failure, done));
    }

    /**
     * Serves the rest of a stream, from the offset that the caller gives in {@code Last-Event-ID} or the parameter
     * {@code offset}.
     *
     * @param exchange the request
     * @param token the reattach token, which the caller got with the first event of the stream
     * @param done called when the exchange has ended
     */
    void reattach(Exchange exchange, String token, Runnable done) {
        CompletionFormat format = new CompletionFormat(exchange.id(), new ModelName("reattached"), false);
        try {
            long offset = offset(exchange);
            AnswerSink sink = new EventStreamSink(exchange.response(), format, done);
            cancelOnDisconnect(exchange, runner.reattach(token, offset, sink));
        } catch (EndiveholdException e) {
            sendError(exchange, e, done);
        }
    }

    private Future<CompletionRequest> parse(Buffer body, boolean chat) {
        if (body.length() > WORKER_PARSE_THRESHOLD_BYTES) {
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
            CompletionFormat format = new CompletionFormat(exchange.id(), request.model(), request.chat());
            AnswerSink sink = request.stream()
                    ? new EventStreamSink(exchange.response(), format, done)
                    : new BufferedAnswerSink(exchange.response(), format, done);
            cancelOnDisconnect(exchange, runner.submit(call, sink));
        } catch (EndiveholdException e) {
            sendError(exchange, e, done);
        }
    }

    private GenerationCall call(Exchange exchange, CompletionRequest request) throws EndiveholdException {
        Route route = exchange.configuration().routes().generation(request.model());
        long millis = Deadline.millis(exchange.http().getHeader(Deadline.HEADER), route);
        return new GenerationCall(
                exchange.id(),
                exchange.customer().name(),
                route,
                request.prompt(),
                TokenCount.estimate(request.promptBytes()),
                request.maxTokens(),
                exchange.arrivedAtMillis(),
                exchange.arrivedAtMillis() + millis);
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

    private static void cancelOnDisconnect(Exchange exchange, Runnable cancel) {
        exchange.response().closeHandler(closed -> cancel.run());
        exchange.response().exceptionHandler(broken -> cancel.run());
        if (exchange.response().closed()) {
            cancel.run();
        }
    }

    private static void sendError(Exchange exchange, Throwable failure, Runnable done) {
        ResponseCompletion.whenWritten(
                Problem.send(exchange.response(), EndiveholdException.unwrap(failure), exchange.id(), 0), done);
    }
}
