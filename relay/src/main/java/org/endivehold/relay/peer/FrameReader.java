package org.endivehold.relay.peer;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;
import org.endivehold.error.EndiveholdException;

/** Splits the bytes of a connection into frames and decodes them; stops at the first malformed frame. */
final class FrameReader implements Handler<Buffer> {
    private final Consumer<PeerMessage> messages;
    private final Consumer<String> faults;
    private Buffer pending = Buffer.buffer();
    private boolean broken;

    FrameReader(Consumer<PeerMessage> messages, Consumer<String> faults) {
        this.messages = messages;
        this.faults = faults;
    }

    @Override
    public void handle(Buffer bytes) {
        pending.appendBuffer(bytes);
        int at = 0;
        while (!broken && pending.length() - at >= PeerCodec.LENGTH_BYTES) {
            int length = pending.getInt(at);
            if (length < 0 || length > PeerCodec.MAX_FRAME_BYTES) {
                fail("invalid frame length of " + length + " bytes");
                return;
            }
            int end = at + PeerCodec.LENGTH_BYTES + length;
            if (pending.length() < end) {
                break;
            }
            frame(pending.getBuffer(at + PeerCodec.LENGTH_BYTES, end));
            at = end;
        }
        pending = at == 0 ? pending : pending.getBuffer(at, pending.length());
    }

    /** Returns the number of bytes that belong to a frame that is not complete. */
    int pendingBytes() {
        return pending.length();
    }

    private void frame(Buffer frame) {
        try {
            PeerCodec.decode(frame).forEach(messages);
        } catch (EndiveholdException e) {
            fail(e.getMessage());
        }
    }

    private void fail(String reason) {
        broken = true;
        faults.accept(reason);
    }
}
