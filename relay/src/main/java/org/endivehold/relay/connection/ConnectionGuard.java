package org.endivehold.relay.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.endivehold.relay.limit.HeldBytes;
import org.endivehold.relay.route.CallerLimits;

/**
 * Limits what one connection holds and how long it takes. It stands before the HTTP decoder, and passes on one request
 * at a time.
 *
 * <p>A head is passed on when it is complete, so that an incomplete one takes no more than its bytes. The next head is
 * passed on when the response to the last request has been taken; what arrives in between is held up to a bound, and
 * then the connection is not read. So a closed connection is noticed while a request is served.
 */
final class ConnectionGuard extends ChannelInboundHandlerAdapter {
    /** Longest request line, in bytes. */
    private static final int MAX_LINE_BYTES = 16_384;
    /** Most lines of a head: a head of 16,384 bytes has at most 4,096 fields. */
    private static final int MAX_LINES = 4_200;
    /** Memory that a decoded field takes beside its bytes, in bytes. */
    private static final int FIELD_BYTES = 200;
    /** Bytes that are held while a request is served. */
    private static final int MAX_AHEAD_BYTES = 16_384;
    /**
     * Bytes of a chunked body that are passed to the decoder at a time. Small, since the HTTP library queues without a
     * bound the requests that may follow in the same bytes.
     */
    private static final int SLICE_BYTES = 1_024;
    /** The same for the rest of a body, after {@link #JUDGED_BYTES}. */
    private static final int MAX_SLICE_BYTES = 4_096;
    /**
     * Bytes of a chunked body after which it is checked for very small chunks: less than three quarters of the bytes
     * are content.
     */
    private static final int JUDGED_BYTES = 1_000;
    /** Least rate of a body over the time since its head, in bytes per second. */
    private static final int LEAST_BODY_RATE = 512;
    /** Time for which a client may read the refusal before its connection is closed, in milliseconds. */
    private static final int LINGER_MILLIS = 500;
    /** Time after which an unread response counts as stalled, in milliseconds. */
    private static final int STALL_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final ServerGuard server;
    private final Channel channel;
    private final HeadScanner scanner = new HeadScanner();
    private ChannelHandlerContext context;
    private HeldBytes.Share heads;
    private OpenConnections.Entry entry;
    private ByteBuf held = Unpooled.EMPTY_BUFFER;
    private int scanned;
    private boolean inRequest;
    private boolean requestRead;
    private boolean responseEnded;
    private boolean passing;
    private boolean refused;
    private boolean smallChunked;
    private double since;
    private double lastByteAt;
    private long bodyWireBytes;
    private long bodyBytes;
    private long bodyLength;
    private double responseAt;
    private long unreadBytes;
    private double unreadSince;

    ConnectionGuard(ServerGuard server, Channel channel) {
        this.server = server;
        this.channel = channel;
        since = server.now();
        lastByteAt = since;
        unreadSince = since;
    }

    /** Registers the connection and its request head with the limits that all connections share. */
    void begin(HeldBytes allHeads, OpenConnections.Entry connection) {
        heads = allHeads.open(() -> cut("heads-full"));
        entry = connection;
        if (refused) {
            release();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            ctx.fireChannelRead(message);
            return;
        }
        if (!refused && bytes.isReadable()) {
            lastByteAt = server.now();
            if (isRestOfBody(bytes)) {
                bodyWireBytes += bytes.readableBytes();
                ctx.fireChannelRead(bytes);
                return;
            }
            hold(bytes);
            pass();
        }
        bytes.release();
    }

    /** Returns whether the bytes belong to a body of known length, so that no other request can follow in them. */
    private boolean isRestOfBody(ByteBuf bytes) {
        return inRequest && !requestRead && !held.isReadable() && bodyWireBytes + bytes.readableBytes() <= bodyLength;
    }

    private void hold(ByteBuf bytes) {
        if (!held.isReadable()) {
            held = Unpooled.buffer(bytes.readableBytes());
            scanned = 0;
        }
        held.writeBytes(bytes);
    }

    /** Passes on as much as may be decoded now. */
    private void pass() {
        if (passing) {
            return;
        }
        passing = true;
        boolean more = true;
        while (more && !refused && held.isReadable()) {
            if (!inRequest) {
                more = passHead();
            } else if (!requestRead) {
                more = passBody();
            } else {
                more = false;
            }
        }
        passing = false;
        if (!held.isReadable()) {
            held = Unpooled.EMPTY_BUFFER;
        }
        boolean full = inRequest && requestRead && held.readableBytes() > MAX_AHEAD_BYTES;
        if (full) {
            channel.config().setAutoRead(false);
        }
    }

    /** Passes on what was held; the HTTP library flushes responses when a read is complete. */
    private void passHeld() {
        pass();
        context.fireChannelReadComplete();
    }

    private boolean passHead() {
        CallerLimits limits = server.limits();
        if (scanner.lineBytes() == 0) {
            since = server.now();
            entry.use(OpenConnections.Use.RECEIVING, since);
        }
        boolean end = false;
        while (!end && scanned < held.readableBytes()) {
            end = scanner.add(held.getByte(held.readerIndex() + scanned));
            scanned++;
            if (scanner.fieldBytes() > limits.headerBytes()
                    || scanner.lineBytes() > MAX_LINE_BYTES
                    || scanner.lines() > MAX_LINES) {
                refuse("431 Request Header Fields Too Large", "head-too-large");
                return false;
            }
        }
        long cost = scanner.lineBytes() + scanner.fieldBytes() + (end ? (long) scanner.lines() * FIELD_BYTES : 0);
        if (!heads.set(cost) || !end) {
            return false;
        }
        int length = scanned;
        scanned = 0;
        scanner.reset();
        inRequest = true;
        requestRead = false;
        responseEnded = false;
        bodyWireBytes = 0;
        bodyBytes = 0;
        bodyLength = 0;
        since = server.now();
        fire(length);
        return true;
    }

    private boolean passBody() {
        long part = bodyWireBytes > JUDGED_BYTES ? MAX_SLICE_BYTES : SLICE_BYTES;
        if (bodyLength > bodyWireBytes) {
            part = bodyLength - bodyWireBytes;
        }
        int length = (int) Math.min(part, held.readableBytes());
        bodyWireBytes += length;
        fire(length);
        boolean small =
                bodyLength == 0 && bodyWireBytes > JUDGED_BYTES && bodyBytes < bodyWireBytes - bodyWireBytes / 4;
        if (small && !requestRead && !responseEnded && !smallChunked) {
            smallChunked = server.beginSmallChunked();
            if (!smallChunked) {
                refuse("503 Service Unavailable", "small-chunks");
                return false;
            }
        }
        return true;
    }

    private void fire(int length) {
        ByteBuf part = context.alloc().buffer(length).writeBytes(held, length);
        context.fireChannelRead(part);
    }

    /** Returns the handler that stands behind the HTTP codec and sees where requests and responses end. */
    ChannelHandler exchanges() {
        return new ChannelDuplexHandler() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (message instanceof HttpRequest request && !HttpUtil.isTransferEncodingChunked(request)) {
                    bodyLength = HttpUtil.getContentLength(request, 0L);
                }
                if (message instanceof HttpContent content) {
                    bodyBytes += content.content().readableBytes();
                }
                boolean last = message instanceof LastHttpContent;
                ctx.fireChannelRead(message);
                if (last) {
                    requestRead();
                }
            }

            @Override
            public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
                boolean interim = message instanceof HttpResponse response
                        && response.status().code() < 200;
                if (message instanceof LastHttpContent && !interim) {
                    super.write(ctx, message, promise.unvoid().addListener(written -> responseTaken()));
                } else {
                    super.write(ctx, message, promise);
                }
            }
        };
    }

    private void requestRead() {
        requestRead = true;
        endSmallChunked();
        entry.use(OpenConnections.Use.SERVING, server.now());
        nextRequest();
    }

    private void responseTaken() {
        responseEnded = true;
        responseAt = server.now();
        nextRequest();
    }

    private void nextRequest() {
        if (!inRequest || !requestRead || !responseEnded || refused || !channel.isActive()) {
            return;
        }
        inRequest = false;
        heads.empty();
        since = server.now();
        entry.use(OpenConnections.Use.IDLE, since);
        channel.config().setAutoRead(true);
        if (!passing) {
            context.executor().execute(this::passHeld);
        }
    }

    /** Closes the connection or refuses its request if it takes too long. */
    void check(double now, CallerLimits limits) {
        if (refused) {
            return;
        }
        if (unreadMillis(now) > limits.idleMillis()) {
            cut("response-unread");
        } else if (!inRequest && scanner.lineBytes() > 0) {
            if (now - since > limits.headerMillis()) {
                refuse("408 Request Timeout", "head-slow");
            }
        } else if (!inRequest) {
            if (now - since > limits.idleMillis()) {
                cut("idle");
            }
        } else if (!requestRead) {
            checkBody(now, limits);
        } else {
            boolean stalled = unreadMillis(now) > STALL_MILLIS;
            entry.use(stalled ? OpenConnections.Use.STALLED : OpenConnections.Use.SERVING, now);
        }
    }

    private void checkBody(double now, CallerLimits limits) {
        double millis = now - since;
        if (responseEnded) {
            if (now - responseAt > limits.headerMillis()) {
                cut("body-after-refusal");
            }
        } else if (now - lastByteAt > limits.idleMillis()
                || (millis > limits.idleMillis()
                        && (double) bodyWireBytes < millis / MILLIS_PER_SECOND * LEAST_BODY_RATE)) {
            refuse("408 Request Timeout", "body-slow");
        }
    }

    /** Returns for how long the client has taken nothing of what waits for it, in milliseconds. */
    private double unreadMillis(double now) {
        ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
        long pending = out == null ? 0 : out.totalPendingWriteBytes();
        if (pending == 0 || pending != unreadBytes) {
            unreadBytes = pending;
            unreadSince = now;
        }
        return now - unreadSince;
    }

    /** Answers a request that has not been passed on whole, and closes the connection. */
    private void refuse(String status, String reason) {
        stop(reason);
        String response = "HTTP/1.1 " + status + "\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        ChannelFuture written = context.writeAndFlush(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII));
        channel.config().setAutoRead(true);
        written.addListener(done -> server.afterMillis(LINGER_MILLIS, this::close));
    }

    /** Closes the connection without a response. */
    void cut(String reason) {
        stop(reason);
        close();
    }

    private void close() {
        ChannelFuture unused = channel.close();
    }

    private void stop(String reason) {
        if (!refused) {
            refused = true;
            held = Unpooled.EMPTY_BUFFER;
            server.log(String.valueOf(channel.remoteAddress()), reason);
        }
    }

    private void endSmallChunked() {
        if (smallChunked) {
            smallChunked = false;
            server.endSmallChunked();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        release();
        ctx.fireChannelInactive();
    }

    private void release() {
        refused = true;
        held = Unpooled.EMPTY_BUFFER;
        endSmallChunked();
        if (heads != null) {
            heads.close();
            entry.close();
        }
        server.closed(this);
    }
}
