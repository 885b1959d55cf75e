package org.endivehold.relay.room;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import org.endivehold.relay.engine.ContextSplit;
import org.endivehold.relay.engine.EnginePlacement;
import org.endivehold.relay.engine.EngineRoom;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.PredictedRelease;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.TrafficClass;

/**
 * Engines, running jobs and waiting requests in virtual time. Short requests come before long ones, and each request is
 * sent as soon as any engines have room for it.
 */
final class RoomModel implements ClaimListener {
    static final EngineProfile PROFILE = new EngineProfile(8, 100_000, 34, 1.3, 0, 0, 100, 0, 2_000);
    static final double TURN_MILLIS = 25;
    private static final double USABLE_TOKENS = 97_000;
    /** What is left of a job that runs longer than predicted, as the planner is told, in milliseconds. */
    private static final double OVERDUE_MILLIS = 100;

    private static final String SERVICE = "engines";

    final RoomPlanner planner = new RoomPlanner(this);
    final List<RoomClaim> made = new ArrayList<>();
    final List<ClaimEnd> ends = new ArrayList<>();
    final List<Waiting> waiting = new ArrayList<>();
    final List<Waiting> refused = new ArrayList<>();
    /** Whether room is claimed. */
    boolean claiming = true;

    double longestLargeWait;
    double now;

    private final Map<String, List<Running>> engines = new LinkedHashMap<>();
    /** The actual run time of a job with a predicted one. */
    private final DoubleUnaryOperator actualRun;

    private final double targetMillis;
    private long nextNumber;

    /** A request that waits. */
    record Waiting(JobId id, long tokens, double run, double since) {}

    private record Running(long tokens, int slots, double predictedEnd, double actualEnd) {}

    RoomModel(int engineCount, double targetMillis, DoubleUnaryOperator actualRun) {
        this.actualRun = actualRun;
        this.targetMillis = targetMillis;
        for (int i = 0; i < engineCount; i++) {
            engines.put("e" + i, new ArrayList<>());
        }
    }

    Waiting arrive(long tokens, double run) {
        Waiting request = new Waiting(new JobId("d", nextNumber++), tokens, run, now);
        waiting.add(request);
        return request;
    }

    void addEngine(String id) {
        engines.put(id, new ArrayList<>());
    }

    /** Removes an engine; its jobs are lost. */
    void removeEngine(String id) {
        engines.remove(id);
    }

    List<String> engineIds() {
        return List.copyOf(engines.keySet());
    }

    int running() {
        return engines.values().stream().mapToInt(List::size).sum();
    }

    RoomRequest request(Waiting entry) {
        PromptNeed need = new PromptNeed(
                entry.tokens(), 0, targetMillis, 1_000, now - entry.since(), 1e9, new TrafficClass("c", 0, 0));
        return new RoomRequest(entry.id(), SERVICE, need, PROFILE);
    }

    /** Advances the time by one turn, ends jobs, places waiting requests and plans. */
    void turn() {
        now += TURN_MILLIS;
        engines.values().forEach(jobs -> jobs.removeIf(job -> job.actualEnd() <= now));
        List<Waiting> order = new ArrayList<>(waiting);
        order.sort(Comparator.<Waiting, Boolean>comparing(entry -> !hasClaim(entry))
                .thenComparing(Waiting::tokens)
                .thenComparing(entry -> entry.id().number()));
        Waiting first = null;
        for (Waiting entry : order) {
            if (!tryPlace(entry) && first == null && request(entry).mayClaim()) {
                first = entry;
            }
        }
        List<EngineRoom> rooms = engines.keySet().stream().map(this::room).toList();
        waiting.stream().filter(this::hasClaim).forEach(entry -> planner.review(request(entry), rooms, now));
        if (first != null && claiming) {
            plan(first);
        }
    }

    private void plan(Waiting entry) {
        List<EngineRoom> rooms = engines.keySet().stream().map(this::room).toList();
        if (planner.plan(request(entry), rooms, now) == RoomPlanner.Decision.REFUSE) {
            waiting.remove(entry);
            refused.add(entry);
            planner.requestEnded(entry.id(), ClaimEnd.NOT_WAITING, now);
        }
    }

    boolean hasClaim(Waiting entry) {
        return planner.claims().stream().anyMatch(claim -> claim.request().equals(entry.id()));
    }

    EngineRoom room(String engine) {
        double freeTokens = USABLE_TOKENS;
        int freeSlots = PROFILE.slots();
        List<PredictedRelease> releases = new ArrayList<>();
        for (Running job : engines.get(engine)) {
            freeTokens -= job.tokens();
            freeSlots -= job.slots();
            double end = Math.max(job.predictedEnd(), now >= job.predictedEnd() ? now + OVERDUE_MILLIS : 0);
            releases.add(new PredictedRelease(end, job.tokens(), job.slots()));
        }
        return new EngineRoom(engine, freeTokens, freeSlots, releases);
    }

    private boolean tryPlace(Waiting entry) {
        for (ContextSplit split : EnginePlacement.contextSplits(request(entry).need(), PROFILE, engines.size())) {
            List<String> chosen = choose(entry, split);
            if (!chosen.isEmpty()) {
                place(entry, split, chosen);
                return true;
            }
        }
        return false;
    }

    private List<String> choose(Waiting entry, ContextSplit split) {
        List<String> chosen = new ArrayList<>();
        engines.keySet().stream()
                .filter(e -> fits(entry, split.heldTokens(), 1, e))
                .findFirst()
                .ifPresent(chosen::add);
        engines.keySet().stream()
                .filter(e -> !chosen.isEmpty() && !chosen.contains(e) && fits(entry, split.heldTokens(), 0, e))
                .limit(split.engines() - 1L)
                .toList()
                .forEach(chosen::add);
        return chosen.size() < split.engines() ? List.of() : chosen;
    }

    private boolean fits(Waiting entry, long tokens, int slots, String engine) {
        EngineRoom room = room(engine);
        ClaimedRoom withheld = planner.withheld(SERVICE, entry.id(), room, now + entry.run());
        return room.freeTokens() - withheld.tokens() >= tokens && room.freeSlots() - withheld.slots() >= slots;
    }

    private void place(Waiting entry, ContextSplit split, List<String> chosen) {
        waiting.remove(entry);
        double actualEnd = now + actualRun.applyAsDouble(entry.run());
        for (String engine : chosen) {
            int slots = engine.equals(chosen.get(0)) ? 1 : 0;
            engines.get(engine).add(new Running(split.heldTokens(), slots, now + entry.run(), actualEnd));
        }
        if (request(entry).mayClaim()) {
            longestLargeWait = Math.max(longestLargeWait, now - entry.since());
        }
        planner.requestEnded(entry.id(), ClaimEnd.PLACED, now);
    }

    @Override
    public void made(RoomClaim claim, double at) {
        made.add(claim);
    }

    @Override
    public void ended(RoomClaim claim, ClaimEnd reason, double at) {
        ends.add(reason);
    }
}
