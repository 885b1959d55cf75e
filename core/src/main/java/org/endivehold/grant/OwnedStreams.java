package org.endivehold.grant;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.endivehold.misc.StreamId;

/** The streams of one engine that a daemon answers for, and those that it has done with of late. */
final class OwnedStreams {
    private static final int MAX_ENDED = 256;
    private static final long ENDED_MILLIS = 30_000;

    private final Set<StreamId> live = new LinkedHashSet<>();
    private final Deque<Ended> ended = new ArrayDeque<>();

    private record Ended(StreamId stream, long at) {}

    void start(StreamId stream) {
        live.add(stream);
        ended.removeIf(old -> old.stream().equals(stream));
    }

    void end(StreamId stream, long now) {
        if (live.remove(stream)) {
            ended.add(new Ended(stream, now));
        }
        if (ended.size() > MAX_ENDED) {
            ended.remove();
        }
    }

    Collection<StreamId> live() {
        return live;
    }

    List<StreamId> ended(long now) {
        ended.removeIf(old -> now - old.at() > ENDED_MILLIS);
        return new ArrayList<>(ended.stream().map(Ended::stream).toList());
    }
}
