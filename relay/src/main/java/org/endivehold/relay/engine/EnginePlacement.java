package org.endivehold.relay.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;
import org.endivehold.relay.route.EngineProfile;

/**
 * Chooses the engines of a prompt by least predicted harm.
 *
 * <p>Three effects decide. A long prompt is read faster when several engines read a part each. Every part lengthens the
 * next pass of its engine and so the pauses of all who write there. And a short prompt that arrives behind a long read
 * waits for it. The choice tries growing numbers of parts; for each number it takes the engines where a part does the
 * least harm, and it keeps the number with the least sum of the request's own risk of being late and the risk that it
 * adds for others.
 *
 * <p>Harm alone would spread short prompts evenly and leave no engine where a long part hurts nobody. Engines therefore
 * have an order, the same at all daemons: short prompts lean to its beginning, long ones to its end. Nothing is
 * reserved: the border between them moves with the mix of the moment, since a full engine is dearer than a place
 * further along. Engines that stand together in the order are a group, and within it each daemon has its own
 * preferences: daemons that have not heard of each other's newest requests do not all choose the same engine.
 *
 * <p>A context that does not fit into one engine is divided: the writer holds one part, and other engines, at which
 * memory has to be reserved, hold the others.
 *
 * <p>Example: of four idle engines A B C D in this order, ten short prompts go to A until its waiting reads put the
 * next one at risk, then to B; a prompt of 180,000 tokens is read by D, C and B, and by A only if its pauses allow.
 */
public final class EnginePlacement {
    /** Most engines that read one prompt together: the writer and the helpers that the protocol allows. */
    public static final int MAX_PARTS = 17;

    /** Weight of an engine's place in the order, relative to the weight of the request. */
    private static final double ORDER_WEIGHT = 0.06;
    /** Groups of neighbouring engines in the order. */
    private static final int GROUPS = 8;
    /**
     * Most groups over which the preferences of a daemon reach: more than an idle engine is worth against a used one.
     */
    private static final double MOST_PREFERENCE_GROUPS = 5;
    /** Engines for each group over which preferences reach: a larger fleet hears later of more requests. */
    private static final double ENGINES_PER_PREFERENCE_GROUP = 12;
    /** Cost of each further part, relative to the weight of the request: parts tie engines together. */
    private static final double PART_WEIGHT = 0.004;
    /** Part of the cost of an own long pause that counts: other reads may spread over several passes. */
    private static final double OWN_PAUSE_WEIGHT = 0.5;
    /** Free slots of an engine that are better left to others: another daemon may take them at the same moment. */
    private static final int LAST_SLOTS = 2;
    /** Cost of taking the very last free slot of an engine, relative to the request's weight. */
    private static final double LAST_SLOT_WEIGHT = 0.3;
    /** Reads on one engine up to this many milliseconds make a prompt a short one. */
    private static final double SHORT_READ_MILLIS = 110;
    /** Most engines beside the writer at which memory is reserved for one request. */
    private static final int MAX_HOLDERS = 8;
    /** Share of an engine's memory that one part of a divided context takes at most. */
    private static final double HELD_SHARE = 0.6;
    /** Tokens added to each part of a divided context, since memory is given in blocks. */
    private static final long HELD_MARGIN_TOKENS = 512;
    /** Share of an engine's memory that requests may claim. */
    private static final double MEMORY_SHARE = 0.97;

    private final EngineBoard board;
    private final List<EngineCandidate> engines;
    private final PromptNeed need;
    private final double now;
    private final double weight;
    /** How many times longer a read takes since later parts overtake it. */
    private final double overtakenFactor;

    private EnginePlacement(EngineBoard board, List<EngineCandidate> engines, PromptNeed need, double now) {
        this.board = board;
        this.engines = engines;
        this.need = need;
        this.now = now;
        this.weight = EngineJob.weight(need.promptTokens());
        this.overtakenFactor = 1 / (1 - board.partShare(now));
    }

    /**
     * How a prompt is divided: engines that read, engines beside the writer that hold, tokens that each of them holds.
     */
    private record Division(int parts, int holders, long heldTokens) {}

    /** One engine as the writer or a reader of one part. */
    private record Option(EngineCandidate engine, double readyMillis, double harm, boolean mayHold, boolean mayWrite) {}

    /**
     * Chooses the engines of a request.
     *
     * @param board the work that is known
     * @param candidates the engines that may be used
     * @param need the request
     * @param now time in milliseconds, of the board's clock
     * @return the engines, or empty if none of them has room
     */
    public static Optional<Placement> place(
            EngineBoard board, List<EngineCandidate> candidates, PromptNeed need, double now) {
        List<EngineCandidate> known = candidates.stream()
                .filter(c -> board.load(c.id()) != null)
                .sorted(Comparator.comparingInt(c -> order(c.id())))
                .toList();
        if (known.isEmpty()) {
            return Optional.empty();
        }
        return new EnginePlacement(board, known, need, now).choose();
    }

    private static int order(String id) {
        return MurmurHash3.hash32x86(id.getBytes(StandardCharsets.UTF_8));
    }

    private Optional<Placement> choose() {
        double tokens = need.memoryTokens();
        double most = profile().memoryTokens();
        if (tokens <= most * MEMORY_SHARE) {
            Placement whole = leastCost(0);
            if (whole != null || isShort()) {
                return Optional.ofNullable(whole);
            }
        }
        int least = Math.max(1, (int) Math.ceil(tokens / (most * HELD_SHARE)) - 1);
        for (int holders = least; holders <= Math.min(MAX_HOLDERS, engines.size() - 1); holders++) {
            Placement divided = leastCost(holders);
            if (divided != null) {
                return Optional.of(divided);
            }
        }
        return Optional.empty();
    }

    private EngineProfile profile() {
        return board.load(engines.get(0).id()).profile();
    }

    private boolean isShort() {
        return profile().prefillMillis(need.promptTokens(), 1) <= SHORT_READ_MILLIS;
    }

    /** Tries all numbers of parts with a given number of engines that hold a part of the context beside the writer. */
    private Placement leastCost(int holders) {
        long held = need.memoryTokens() / (holders + 1) + (holders > 0 ? HELD_MARGIN_TOKENS : 0);
        Placement best = null;
        for (int parts = holders + 1; parts <= Math.min(MAX_PARTS, engines.size()); parts = nextParts(parts)) {
            Placement placement = placeParts(new Division(parts, holders, held));
            if (placement != null && (best == null || placement.cost() < best.cost())) {
                best = placement;
            }
            if (isShort()) {
                break;
            }
        }
        return best;
    }

    private static int nextParts(int parts) {
        return parts < 6 ? parts + 1 : parts + 2;
    }

    private Placement placeParts(Division division) {
        boolean shorter = isShort();
        double reach = Math.min(MOST_PREFERENCE_GROUPS, engines.size() / ENGINES_PER_PREFERENCE_GROUP);
        List<Option> options = new ArrayList<>(engines.size());
        for (int i = 0; i < engines.size(); i++) {
            int place = shorter ? i : engines.size() - 1 - i;
            double group = Math.floor((double) place * GROUPS / engines.size()) / GROUPS;
            double own = reach * engines.get(i).preference() / GROUPS;
            double lean = weight * ORDER_WEIGHT * (group + own);
            options.add(option(engines.get(i), division, lean));
        }
        options.sort(Comparator.comparingDouble(o -> o.harm() + ownRisk(o.readyMillis())));
        Option writer = options.stream().filter(Option::mayWrite).findFirst().orElse(null);
        if (writer == null) {
            return null;
        }
        options.remove(writer);
        List<Option> chosen = new ArrayList<>(division.parts());
        chosen.add(writer);
        options.stream().filter(Option::mayHold).limit(division.holders()).forEach(chosen::add);
        if (chosen.size() <= division.holders()) {
            return null;
        }
        options.removeAll(chosen);
        options.stream().limit(division.parts() - (long) chosen.size()).forEach(chosen::add);
        return chosen.size() < division.parts() ? null : sum(chosen, division);
    }

    private double ownRisk(double firstMillis) {
        return weight * Lateness.risk(need.elapsedMillis() + firstMillis * overtakenFactor, need.firstAimMillis());
    }

    private Placement sum(List<Option> chosen, Division division) {
        double first = 0;
        double harm = 0;
        List<String> ids = new ArrayList<>(chosen.size());
        List<Long> held = new ArrayList<>(chosen.size());
        for (Option option : chosen) {
            first = Math.max(first, option.readyMillis());
            harm += option.harm();
            held.add(ids.size() <= division.holders() ? division.heldTokens() : 0L);
            ids.add(option.engine().id());
        }
        EngineLoad load = board.load(ids.get(0));
        first += load.profile().passMillis(1, (double) division.heldTokens())
                * chosen.get(0).engine().pace();
        harm += weight * PART_WEIGHT * chosen.size();
        return new Placement(ids, held, first, harm, ownRisk(first));
    }

    private Option option(EngineCandidate engine, Division division, double lean) {
        EngineLoad load = board.load(engine.id());
        boolean split = division.parts() > 1;
        double read = load.profile().prefillMillis(need.promptTokens(), division.parts()) * engine.pace();
        double pause = load.passMillis() * engine.pace() + load.nextPassReads(now);
        double harm = lean + engine.penalty();
        for (EnginePart part : load.parts()) {
            harm += part.writing ? pauseHarm(part, pause, read) : waitHarm(load, part, read, split);
        }
        if (!split) {
            harm += weight * OWN_PAUSE_WEIGHT * Lateness.risk(pause + read, need.gapAimMillis());
        }
        double ready = load.startDelay(now, split) * engine.pace() + read;
        boolean mayHold =
                load.memoryTokens() + division.heldTokens() <= load.profile().memoryTokens() * MEMORY_SHARE;
        int free = load.profile().slots() - load.occupied(engine.id());
        boolean mayWrite = mayHold && free > 0;
        harm += free <= LAST_SLOTS ? weight * LAST_SLOT_WEIGHT / Math.max(1, free * free) : 0;
        return new Option(engine, ready, harm, mayHold, mayWrite);
    }

    private static double pauseHarm(EnginePart part, double pause, double read) {
        double aim = part.job.gapAimMillis();
        double before = Math.max(part.spoiled, Lateness.risk(pause, aim));
        return part.job.weight() * Math.max(0, Lateness.risk(pause + read, aim) - before);
    }

    private double waitHarm(EngineLoad load, EnginePart part, double read, boolean split) {
        boolean delayed = split ? load.overtakes(part, now) : !part.started(now) && !part.split;
        if (!delayed) {
            return 0;
        }
        double aim = part.job.firstAimMillis();
        double first = now - part.placedAt + part.untilDoneMillis(now);
        return part.job.weight() * (Lateness.risk(first + read, aim) - Lateness.risk(first, aim));
    }
}
