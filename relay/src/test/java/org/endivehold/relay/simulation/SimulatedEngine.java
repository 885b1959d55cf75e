package org.endivehold.relay.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.endivehold.relay.route.EngineProfile;

/**
 * An engine that works in passes: it reads what waits, parts of divided prompts first and the newest of them before
 * older ones, and each writer produces an event per pass.
 */
final class SimulatedEngine {
    /** What one engine reads of one prompt. */
    static final class Read {
        private final SimulatedRequest request;
        private final boolean part;
        private final double millisPerToken;
        private double left;

        Read(SimulatedRequest request, boolean part, double tokens, double millis) {
            this.request = request;
            this.part = part;
            this.left = tokens;
            this.millisPerToken = millis / tokens;
        }
    }

    private final String id;
    private final EngineProfile profile;
    private final VirtualTime time;
    private final Deque<Read> parts = new ArrayDeque<>();
    private final Deque<Read> whole = new ArrayDeque<>();
    private final Deque<Read> queue = new ArrayDeque<>();
    private final Set<SimulatedRequest> admitted = new LinkedHashSet<>();
    private final List<SimulatedRequest> writers = new ArrayList<>();
    private boolean working;

    SimulatedEngine(String id, EngineProfile profile, VirtualTime time) {
        this.id = id;
        this.profile = profile;
        this.time = time;
    }

    String id() {
        return id;
    }

    EngineProfile profile() {
        return profile;
    }

    /** Takes a request that is to write here; it waits while all slots are in use. */
    void admit(Read read) {
        if (admitted.size() < profile.slots()) {
            admitted.add(read.request);
            read(read);
        } else {
            queue.add(read);
        }
    }

    void read(Read read) {
        if (read.part) {
            parts.addFirst(read);
        } else {
            whole.addLast(read);
        }
        work();
    }

    void write(SimulatedRequest request) {
        writers.add(request);
        work();
    }

    void leave(SimulatedRequest request) {
        parts.removeIf(read -> read.request == request);
        whole.removeIf(read -> read.request == request);
        queue.removeIf(read -> read.request == request);
        writers.remove(request);
        if (admitted.remove(request) && !queue.isEmpty()) {
            admit(queue.poll());
        }
    }

    private void work() {
        if (!working) {
            working = true;
            time.after(0, this::pass);
        }
    }

    private void pass() {
        if (writers.isEmpty() && parts.isEmpty() && whole.isEmpty()) {
            working = false;
            return;
        }
        List<Read> done = new ArrayList<>();
        List<SimulatedRequest> writing = List.copyOf(writers);
        double context = 0;
        for (SimulatedRequest writer : writing) {
            context += writer.tokens();
        }
        double millis = readSome(done) + profile.passMillis(writing.size(), context);
        time.after(millis, () -> {
            for (Read read : done) {
                parts.remove(read);
                whole.remove(read);
                read.request.wasRead(this);
            }
            writing.stream().filter(writers::contains).forEach(SimulatedRequest::event);
            pass();
        });
    }

    /** Reads as much as a pass may; returns the time that it takes. */
    private double readSome(List<Read> done) {
        double most = profile.prefillChunkTokens() * (writers.isEmpty() ? 1.0 : profile.stepsPerPass());
        double millis = 0;
        for (Deque<Read> reads : List.of(parts, whole)) {
            for (Read read : reads) {
                double tokens = Math.min(most, read.left);
                read.left -= tokens;
                most -= tokens;
                millis += tokens * read.millisPerToken;
                if (read.left <= 0) {
                    done.add(read);
                }
                if (most <= 0) {
                    return millis;
                }
            }
        }
        return millis;
    }
}
