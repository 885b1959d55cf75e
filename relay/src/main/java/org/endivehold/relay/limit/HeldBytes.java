package org.endivehold.relay.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.endivehold.misc.LogEvent;
import org.jboss.logging.Logger;

/**
 * The bytes of one kind that this daemon holds for all its requests together, such as bodies that are being read.
 *
 * <p>A bound for each request does not bound the process: how many requests there are is up to others. So the sum is
 * bounded. When it is exceeded, the share that holds the most is evicted, and so on until the rest fits: a client that
 * sends without end holds more than a well-behaved one. Example with a limit of 20 MiB: of 75 answers, 25 have 0.8 MiB
 * each and grow, 50 have 5 KB. The next block of one that grows evicts the largest of them; the small ones go on.
 *
 * <p>A pinned share counts but is not evicted, since what it holds is in use.
 */
public final class HeldBytes {
    private static final Logger log = Logger.getLogger(HeldBytes.class);

    private final String kind;
    private final long limitBytes;
    private final List<Share> shares = new ArrayList<>();
    private long heldBytes;

    /**
     * Creates an empty holding.
     *
     * @param kind what the bytes are, for the log
     * @param limitBytes most bytes that are held at the same time
     */
    public HeldBytes(String kind, long limitBytes) {
        this.kind = kind;
        this.limitBytes = limitBytes;
    }

    /** Opens a share without bytes; {@code onEvicted} has to release the bytes when it is evicted. */
    public Share open(Runnable onEvicted) {
        return new Share(onEvicted);
    }

    /** Returns whether so many bytes can be held without evicting a share. */
    public boolean fits(long bytes) {
        return heldBytes + bytes <= limitBytes;
    }

    /** Returns the number of bytes that are held. */
    public long heldBytes() {
        return heldBytes;
    }

    private void evictWhileOverLimit() {
        while (heldBytes > limitBytes) {
            Optional<Share> largest = largest();
            if (largest.isEmpty()) {
                return;
            }
            LogEvent.of("bytes-evicted")
                    .with("kind", kind)
                    .with("bytes", largest.get().bytes)
                    .with("held", heldBytes)
                    .with("limit", limitBytes)
                    .with("shares", shares.size())
                    .warn(log);
            largest.get().evict();
        }
    }

    /** Returns the share that holds the most and may be evicted; of several, the one that began last. */
    private Optional<Share> largest() {
        Share largest = null;
        for (Share share : shares) {
            if (!share.pinned && (largest == null || share.bytes >= largest.bytes)) {
                largest = share;
            }
        }
        return Optional.ofNullable(largest);
    }

    /** What is held for one request; it may be evicted and then hold something else. */
    public final class Share {
        private final Runnable onEvicted;
        private long bytes;
        private boolean evicted;
        private boolean pinned;
        private boolean closed;

        private Share(Runnable onEvicted) {
            this.onEvicted = onEvicted;
        }

        /**
         * Sets the number of bytes that this share holds, which may end the largest shares.
         *
         * @param now number of bytes
         * @return false if this share itself was evicted, or has been closed
         */
        public boolean set(long now) {
            if (closed) {
                return false;
            }
            evicted = false;
            assign(now);
            evictWhileOverLimit();
            return !evicted;
        }

        private void assign(long now) {
            if (bytes == 0 && now > 0) {
                shares.add(this);
            } else if (bytes > 0 && now == 0) {
                shares.remove(this);
            }
            heldBytes += now - bytes;
            bytes = now;
        }

        private void evict() {
            assign(0);
            evicted = true;
            onEvicted.run();
        }

        /** Sets the number of bytes to 0. */
        public void empty() {
            assign(0);
        }

        /** Keeps the share from being evicted from now on. */
        public void pin() {
            pinned = true;
        }

        /** Ends the share: it holds nothing any more. */
        public void close() {
            empty();
            closed = true;
        }
    }
}
