package org.endivehold.relay.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.endivehold.relay.route.EngineProfile;

/**
 * An engine that works in passes. Each pass prefills waiting prompts, parts of split prompts first and newer parts
 * before older ones, and then produces one event for each decoding request.
 */
final class SimulatedEngine {
    /** The prefill of one prompt, or of one part of it, at one engine. */
    static final class Prefill {
        private final SimulatedRequest request;
        private final boolean split;
        private final double millisPerToken;
        private double remainingTokens;

        Prefill(SimulatedRequest request, boolean split, double tokens, double millis) {
            this.request = request;
            this.split = split;
            this.remainingTokens = tokens;
            this.millisPerToken = millis / tokens;
        }
    }

    private final String id;
    private final EngineProfile profile;
    private final VirtualTime time;
    private final Deque<Prefill> splitPrefills = new ArrayDeque<>();
    private final Deque<Prefill> wholePrefills = new ArrayDeque<>();
    private final Deque<Prefill> waitingForSlot = new ArrayDeque<>();
    private final Set<SimulatedRequest> slotHolders = new LinkedHashSet<>();
    private final List<SimulatedRequest> decoding = new ArrayList<>();
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

    /** Takes a request that is to be decoded here; its prefill waits while all slots are in use. */
    void admit(Prefill prefill) {
        if (slotHolders.size() < profile.slots()) {
            slotHolders.add(prefill.request);
            prefill(prefill);
        } else {
            waitingForSlot.add(prefill);
        }
    }

    void prefill(Prefill prefill) {
        if (prefill.split) {
            splitPrefills.addFirst(prefill);
        } else {
            wholePrefills.addLast(prefill);
        }
        startPasses();
    }

    void decode(SimulatedRequest request) {
        decoding.add(request);
        startPasses();
    }

    /** Removes a request that ended, and gives its slot to the next one that waits. */
    void remove(SimulatedRequest request) {
        splitPrefills.removeIf(prefill -> prefill.request == request);
        wholePrefills.removeIf(prefill -> prefill.request == request);
        waitingForSlot.removeIf(prefill -> prefill.request == request);
        decoding.remove(request);
        if (slotHolders.remove(request) && !waitingForSlot.isEmpty()) {
            admit(waitingForSlot.poll());
        }
    }

    private void startPasses() {
        if (!working) {
            working = true;
            time.after(0, this::pass);
        }
    }

    private void pass() {
        if (decoding.isEmpty() && splitPrefills.isEmpty() && wholePrefills.isEmpty()) {
            working = false;
            return;
        }
        List<Prefill> done = new ArrayList<>();
        List<SimulatedRequest> decodingNow = List.copyOf(decoding);
        double context = 0;
        for (SimulatedRequest request : decodingNow) {
            context += request.tokens();
        }
        double millis = runPrefills(done) + profile.passMillis(decodingNow.size(), context);
        time.after(millis, () -> {
            for (Prefill prefill : done) {
                splitPrefills.remove(prefill);
                wholePrefills.remove(prefill);
                prefill.request.prefilled(this);
            }
            decodingNow.stream().filter(decoding::contains).forEach(SimulatedRequest::event);
            pass();
        });
    }

    /** Prefills as many tokens as fit into a pass; returns the time that this takes and adds finished prefills. */
    private double runPrefills(List<Prefill> done) {
        double tokensLeft = profile.prefillChunkTokens() * (decoding.isEmpty() ? 1.0 : profile.stepsPerPass());
        double millis = 0;
        for (Deque<Prefill> prefills : List.of(splitPrefills, wholePrefills)) {
            for (Prefill prefill : prefills) {
                double tokens = Math.min(tokensLeft, prefill.remainingTokens);
                prefill.remainingTokens -= tokens;
                tokensLeft -= tokens;
                millis += tokens * prefill.millisPerToken;
                if (prefill.remainingTokens <= 0) {
                    done.add(prefill);
                }
                if (tokensLeft <= 0) {
                    return millis;
                }
            }
        }
        return millis;
    }
}
