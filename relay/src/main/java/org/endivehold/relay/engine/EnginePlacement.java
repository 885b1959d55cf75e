package org.endivehold.relay.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;
import org.endivehold.relay.route.EngineProfile;

/**
 * Chooses the engines for a prompt so that the predicted cost to this and all other requests is lowest.
 *
 * <p>The first engine of a placement prefills the prompt, or a part of it, and decodes the answer. Helpers prefill a
 * part each. Three effects decide:
 *
 * <ul>
 *   <li>A long prompt is prefilled faster if it is split among several engines.
 *   <li>Each part lengthens the next pass of its engine, and so the gaps of all requests that are decoding there.
 *   <li>A short prompt that arrives at an engine during a long prefill has to wait for it.
 * </ul>
 *
 * <p>Increasing numbers of parts are tried. For each number the engines are taken where a part costs least. The number
 * is kept for which the sum of the request's own lateness cost and the cost it adds for other requests is lowest.
 *
 * <p>Cost alone would spread short prompts evenly and leave no engine where a part of a long prompt delays nobody.
 * Engines therefore have an order, the same at all daemons: short prompts prefer the engines at its start, long prompts
 * those at its end. No engine is reserved. The boundary moves with the current mix of prompts, since a loaded engine
 * costs more than an idle one further along. Neighbours in the order form a group. Within a group each daemon has its
 * own bias, so that daemons that have not yet learned of each other's newest requests do not all choose the same
 * engine.
 *
 * <p>A context that does not fit into one engine is split as well: the decoding engine holds one part of it, and the
 * others are held by helpers, where memory has to be reserved.
 *
 * <p>Example: four idle engines have the order A B C D. Ten short prompts go to A until its pending prefills would make
 * the next one late, then to B. A prompt of 180,000 tokens is prefilled by D, C and B, and by A only if the requests
 * that are decoding there still meet their targets with the longer gap.
 */
public final class EnginePlacement {
    /**
     * Maximum number of engines that prefill one prompt together: the first engine and the helpers that the protocol
     * allows.
     */
    public static final int MAX_PARTS = 17;

    /** Cost of the full length of the engine order, relative to the weight of the request. */
    private static final double ORDER_COST = 0.06;
    /** Number of groups of neighbouring engines in the order. */
    private static final int GROUPS = 8;
    /**
     * Maximum number of groups that a daemon's bias spans; at this number the bias outweighs the advantage of an idle
     * engine over a used one.
     */
    private static final double MAX_BIAS_GROUPS = 5;
    /**
     * Number of engines for each group that the bias spans. With more engines, more requests are placed before a daemon
     * learns of them.
     */
    private static final double ENGINES_PER_BIAS_GROUP = 12;
    /** Cost of each part, relative to the weight of the request: a prompt depends on all engines that prefill it. */
    private static final double PART_COST = 0.004;
    /**
     * Share of the request's own pause cost that counts. The prefills that lengthen the pause may be spread over
     * several passes.
     */
    private static final double OWN_PAUSE_WEIGHT = 0.5;
    /** Free slots of an engine that are better left to other daemons, which may take them at the same moment. */
    private static final int LAST_SLOTS = 2;
    /** Cost of taking the last free slot of an engine, relative to the weight of the request. */
    private static final double LAST_SLOT_COST = 0.3;
    /** Longest prefill on one engine with which a prompt counts as short, in milliseconds. */
    private static final double SHORT_PREFILL_MILLIS = 110;
    /** Maximum number of helpers at which memory is reserved for one request. */
    private static final int MAX_CACHE_HELPERS = 8;
    /** Share of an engine's memory that one part of a split context may take. */
    private static final double SPLIT_CONTEXT_SHARE = 0.6;
    /** Tokens added to each part of a split context, since memory is allocated in blocks. */
    private static final long SPLIT_CONTEXT_MARGIN_TOKENS = 512;

    private final JobTracker tracker;
    private final List<EngineCandidate> engines;
    private final PromptNeed need;
    private final double now;
    private final double weight;
    /** How many times longer a prefill takes because later split prefills preempt it. */
    private final double preemptionFactor;

    private EnginePlacement(JobTracker tracker, List<EngineCandidate> engines, PromptNeed need, double now) {
        this.tracker = tracker;
        this.engines = engines;
        this.need = need;
        this.now = now;
        this.weight = need.weight();
        this.preemptionFactor = 1 / (1 - tracker.splitPrefillShare(now));
    }

    /**
     * How a prompt is split.
     *
     * @param parts engines that prefill a part each
     * @param cacheHelpers helpers that also hold a part of the context
     * @param heldTokens tokens of context at the first engine and at each of these helpers
     */
    private record Split(int parts, int cacheHelpers, long heldTokens) {}

    /**
     * Predicted effect of using an engine for a part of the prompt.
     *
     * @param engine the engine
     * @param prefilledMillis predicted time from now until the part is prefilled
     * @param cost cost to other requests, with the engine's penalty and its place in the order
     * @param hasMemory whether its memory has room for a part of the context
     * @param mayDecode whether it has that room and a free slot
     */
    private record EngineOption(
            EngineCandidate engine, double prefilledMillis, double cost, boolean hasMemory, boolean mayDecode) {}

    /**
     * Chooses the engines for a request.
     *
     * @param tracker the jobs at the engines
     * @param candidates the engines that may be used; those not registered with the tracker are ignored
     * @param need the request
     * @param now time in milliseconds, of the tracker's clock
     * @return the engines; empty if too few of them have free memory and a free slot
     */
    public static Optional<Placement> place(
            JobTracker tracker, List<EngineCandidate> candidates, PromptNeed need, double now) {
        List<EngineCandidate> registered = candidates.stream()
                .filter(c -> tracker.load(c.id()) != null)
                .sorted(Comparator.comparingInt(c -> orderKey(c.id())))
                .toList();
        if (registered.isEmpty()) {
            return Optional.empty();
        }
        return new EnginePlacement(tracker, registered, need, now).choose();
    }

    private static int orderKey(String id) {
        return MurmurHash3.hash32x86(id.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the ways of dividing a request's context, in the order in which they are tried: undivided if it fits into
     * one engine, then among as few engines as possible. A short prompt that fits into one engine is not divided.
     *
     * @param need the request
     * @param profile profile of the engines
     * @param engines number of engines that may be used
     * @return the ways; empty if the engines are too few
     */
    public static List<ContextSplit> contextSplits(PromptNeed need, EngineProfile profile, int engines) {
        long tokens = need.memoryTokens();
        List<ContextSplit> splits = new ArrayList<>();
        if (tokens <= EngineLoad.usableTokens(profile)) {
            splits.add(new ContextSplit(1, tokens));
            if (isShort(need, profile)) {
                return splits;
            }
        }
        int fewest = Math.max(1, (int) Math.ceil(tokens / (profile.memoryTokens() * SPLIT_CONTEXT_SHARE)) - 1);
        for (int helpers = fewest; helpers <= Math.min(MAX_CACHE_HELPERS, engines - 1); helpers++) {
            splits.add(new ContextSplit(helpers + 1, tokens / (helpers + 1) + SPLIT_CONTEXT_MARGIN_TOKENS));
        }
        return splits;
    }

    private Optional<Placement> choose() {
        for (ContextSplit context : contextSplits(need, profile(), engines.size())) {
            Placement placement = cheapest(context);
            if (placement != null) {
                return Optional.of(placement);
            }
        }
        return Optional.empty();
    }

    private EngineProfile profile() {
        return tracker.load(engines.get(0).id()).profile();
    }

    private boolean isShort() {
        return isShort(need, profile());
    }

    private static boolean isShort(PromptNeed need, EngineProfile profile) {
        return profile.prefillMillis(need.promptTokens(), 1) <= SHORT_PREFILL_MILLIS;
    }

    /**
     * Returns the cheapest placement for a given split of the context; null if there is none. A short prompt is not
     * split further than its context.
     */
    private Placement cheapest(ContextSplit context) {
        Placement best = null;
        for (int parts = context.engines(); parts <= Math.min(MAX_PARTS, engines.size()); parts = nextParts(parts)) {
            Placement placement = placeSplit(new Split(parts, context.engines() - 1, context.heldTokens()));
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

    /** Returns the cheapest engines for a split; null if too few have room. */
    private Placement placeSplit(Split split) {
        boolean fromStart = isShort();
        double biasGroups = Math.min(MAX_BIAS_GROUPS, engines.size() / ENGINES_PER_BIAS_GROUP);
        List<EngineOption> options = new ArrayList<>(engines.size());
        for (int i = 0; i < engines.size(); i++) {
            int position = fromStart ? i : engines.size() - 1 - i;
            double group = Math.floor((double) position * GROUPS / engines.size()) / GROUPS;
            double bias = biasGroups * engines.get(i).bias() / GROUPS;
            double orderCost = weight * ORDER_COST * (group + bias);
            options.add(evaluate(engines.get(i), split, orderCost));
        }
        options.sort(Comparator.comparingDouble(o -> o.cost() + ownLatenessCost(o.prefilledMillis())));
        EngineOption decodeEngine =
                options.stream().filter(EngineOption::mayDecode).findFirst().orElse(null);
        if (decodeEngine == null) {
            return null;
        }
        options.remove(decodeEngine);
        List<EngineOption> chosen = new ArrayList<>(split.parts());
        chosen.add(decodeEngine);
        options.stream()
                .filter(EngineOption::hasMemory)
                .limit(split.cacheHelpers())
                .forEach(chosen::add);
        if (chosen.size() <= split.cacheHelpers()) {
            return null;
        }
        options.removeAll(chosen);
        options.stream().limit(split.parts() - (long) chosen.size()).forEach(chosen::add);
        return chosen.size() < split.parts() ? null : combine(chosen, split);
    }

    private double ownLatenessCost(double firstTokenMillis) {
        return weight
                * Lateness.of(
                        need.elapsedMillis() + firstTokenMillis * preemptionFactor, need.firstEventTargetMillis());
    }

    /** Returns the placement at the chosen engines; the first decodes, the next ones hold parts of the context. */
    private Placement combine(List<EngineOption> chosen, Split split) {
        double firstToken = 0;
        double cost = 0;
        List<String> ids = new ArrayList<>(chosen.size());
        List<Long> held = new ArrayList<>(chosen.size());
        for (EngineOption option : chosen) {
            firstToken = Math.max(firstToken, option.prefilledMillis());
            cost += option.cost();
            held.add(ids.size() <= split.cacheHelpers() ? split.heldTokens() : 0L);
            ids.add(option.engine().id());
        }
        EngineLoad load = tracker.load(ids.get(0));
        firstToken += load.profile().passMillis(1, (double) split.heldTokens())
                * chosen.get(0).engine().slowdown();
        cost += weight * PART_COST * chosen.size();
        return new Placement(ids, held, firstToken, cost, ownLatenessCost(firstToken));
    }

    private EngineOption evaluate(EngineCandidate engine, Split split, double orderCost) {
        EngineLoad load = tracker.load(engine.id());
        boolean isSplit = split.parts() > 1;
        double prefill = load.profile().prefillMillis(need.promptTokens(), split.parts()) * engine.slowdown();
        double pause = load.passMillis() * engine.slowdown() + load.nextPassPrefillMillis(now);
        double cost = orderCost + engine.penalty();
        for (EngineTask task : load.tasks()) {
            cost += task.decoding ? pauseCost(task, pause, prefill) : waitCost(load, task, prefill, isSplit);
        }
        if (!isSplit) {
            cost += weight * OWN_PAUSE_WEIGHT * Lateness.of(pause + prefill, need.gapTargetMillis());
        }
        double prefilled = load.startDelayMillis(now, isSplit) * engine.slowdown() + prefill;
        double taken = load.memoryTokens() + engine.claimedTokens();
        boolean hasMemory = taken + split.heldTokens() <= load.usableTokens();
        int freeSlots = load.profile().slots() - load.usedSlots(engine.id()) - engine.claimedSlots();
        boolean mayDecode = hasMemory && freeSlots > 0;
        cost += freeSlots <= LAST_SLOTS ? weight * LAST_SLOT_COST / Math.max(1, freeSlots * freeSlots) : 0;
        return new EngineOption(engine, prefilled, cost, hasMemory, mayDecode);
    }

    /** Returns what a longer pause costs a request that is decoding, beyond the highest cost predicted before. */
    private static double pauseCost(EngineTask task, double pause, double prefill) {
        double target = task.job.gapTargetMillis();
        double before = Math.max(task.pauseCost, Lateness.of(pause, target));
        return task.job.weight() * Math.max(0, Lateness.of(pause + prefill, target) - before);
    }

    /** Returns what a new prefill costs a request whose own prefill it delays; 0 if it does not delay it. */
    private double waitCost(EngineLoad load, EngineTask task, double prefill, boolean isSplit) {
        boolean delayed = isSplit ? load.preemptedBySplit(task, now) : !task.started(now) && !task.split;
        if (!delayed) {
            return 0;
        }
        double target = task.job.firstEventTargetMillis();
        double firstToken = now - task.placedAt + task.untilDoneMillis(now);
        return task.job.weight() * (Lateness.of(firstToken + prefill, target) - Lateness.of(firstToken, target));
    }
}
