package org.endivehold.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import java.io.IOException;

/**
 * Passes on the answers of one connection to the HTTP library only if they are valid. It stands before the decoder,
 * which is lenient, and fails the connection with an {@link InvalidAnswerException} before any part of an invalid head
 * is decoded.
 *
 * <p>Interim answers are checked and left out. A body is passed on as it is: the decoder finds its end, and the handler
 * of {@link #answerEnds} behind the decoder tells when the next head is due.
 *
 * <p>A body without a length ends with its connection, also for the decoder. If the request could not be written to its
 * end, the connection was not closed by the upstream after a complete answer: the failed write closed it, and the reset
 * that made it fail is never read. So the connection fails before the decoder sees its end.
 */
final class AnswerGuard extends ChannelDuplexHandler {
    /** Most interim answers before a final one. */
    private static final int MAX_INTERIM_ANSWERS = 16;

    private enum State {
        HEAD,
        BODY,
        FAILED
    }

    private State state = State.HEAD;
    private HeadReader head = new HeadReader();
    private int interimAnswers;
    private boolean headPassed;
    private boolean writeFailed;

    private AnswerGuard() {}

    /** Checks all answers of a connection; to be called before its first request. */
    static void install(HttpConnection connection) {
        ChannelPipeline pipeline = ((HttpClientConnectionInternal) connection)
                .channelHandlerContext()
                .pipeline();
        String decoder = pipeline.context(HttpClientCodec.class).name();
        AnswerGuard guard = new AnswerGuard();
        pipeline.addBefore(decoder, "answer-guard", guard);
        pipeline.addAfter(decoder, "answer-ends", guard.answerEnds(pipeline.context(guard)));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            context.fireChannelRead(message);
            return;
        }
        try {
            while (state == State.HEAD && bytes.isReadable()) {
                if (head.add(bytes.readByte())) {
                    endHead(context);
                }
            }
        } catch (InvalidAnswerException e) {
            fail(context, e);
        }
        if (state == State.BODY && bytes.isReadable()) {
            context.fireChannelRead(bytes);
        } else {
            bytes.release();
        }
    }

    private void endHead(ChannelHandlerContext context) throws InvalidAnswerException {
        HeadReader ended = head;
        head = new HeadReader();
        if (ended.isInterim()) {
            interimAnswers++;
            if (interimAnswers > MAX_INTERIM_ANSWERS) {
                throw new InvalidAnswerException(HeadPart.SIZE, interimAnswers + " interim answers");
            }
            return;
        }
        interimAnswers = 0;
        state = State.BODY;
        headPassed = true;
        context.fireChannelRead(Unpooled.wrappedBuffer(ended.toBytes()));
    }

    /** Returns the handler that stands behind the decoder and sees where answers begin and end. */
    private ChannelHandler answerEnds(ChannelHandlerContext guardContext) {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof HttpResponse response && !takeHead()) {
                    ReferenceCountUtil.release(message);
                    fail(
                            guardContext,
                            new InvalidAnswerException(
                                    HeadPart.UNREQUESTED, response.status().toString()));
                    return;
                }
                if (message instanceof LastHttpContent && state == State.BODY) {
                    state = State.HEAD;
                }
                context.fireChannelRead(message);
            }
        };
    }

    /** Returns whether the decoder has read the head that was passed on; any other one follows a complete answer. */
    private boolean takeHead() {
        boolean passed = headPassed;
        headPassed = false;
        return passed;
    }

    private void fail(ChannelHandlerContext context, InvalidAnswerException failure) {
        state = State.FAILED;
        context.fireExceptionCaught(failure);
        ChannelFuture unused = context.close();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        super.write(context, message, promise.unvoid().addListener(written -> writeFailed |= !written.isSuccess()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (state == State.BODY && writeFailed) {
            state = State.FAILED;
            context.fireExceptionCaught(new IOException("the connection ended while the request was written"));
        }
        context.fireChannelInactive();
    }
}
