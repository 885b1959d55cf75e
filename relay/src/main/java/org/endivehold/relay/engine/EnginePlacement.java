package org.endivehold.relay.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;

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
 * further along.
 *
 * <p>Example: of four idle engines A B C D in this order, ten short prompts go to A until its waiting reads put the
 * next one at risk, then to B; a prompt of 180,000 tokens is read by D, C and B, and by A only if its pauses allow.
 */
public final class EnginePlacement {
    /** Most engines that read one prompt together: the writer and the helpers that the protocol allows. */
    public static final int MAX_PARTS = 17;

    /** Weight of an engine's place in the order, relative to the weight of the request. */
    private static final double ORDER_WEIGHT = 0.06;
    /** Cost of each further part, relative to the weight of the request: parts tie engines together. */
    private static final double PART_WEIGHT = 0.004;
    /** Reads on one engine up to this many milliseconds make a prompt a short one. */
    private static final double SHORT_READ_MILLIS = 110;
    /** Share of an engine's memory that requests may claim. */
    private static final double MEMORY_SHARE = 0.97;

    private EnginePlacement() {}

    /** One engine as the writer or a reader of one part. */
    private record Option(EngineCandidate engine, double readyMillis, double harm, boolean mayWrite) {}

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
        Placement best = null;
        for (int parts = 1; parts <= Math.min(MAX_PARTS, known.size()); parts = nextParts(parts)) {
            Placement placement = placeParts(board, known, need, parts, now);
            if (placement != null && (best == null || placement.cost() < best.cost())) {
                best = placement;
            }
            if (isShort(board, known, need)) {
                break;
            }
        }
        return Optional.ofNullable(best);
    }

    private static int nextParts(int parts) {
        return parts < 6 ? parts + 1 : parts + 2;
    }

    private static boolean isShort(EngineBoard board, List<EngineCandidate> known, PromptNeed need) {
        return board.load(known.get(0).id()).profile().readMillis(need.promptTokens(), 1) <= SHORT_READ_MILLIS;
    }

    private static int order(String id) {
        return MurmurHash3.hash32x86(id.getBytes(StandardCharsets.UTF_8));
    }

    private static Placement placeParts(
            EngineBoard board, List<EngineCandidate> known, PromptNeed need, int parts, double now) {
        boolean shorter = isShort(board, known, need);
        double weight = EngineJob.weight(need.promptTokens());
        List<Option> options = new ArrayList<>(known.size());
        for (int i = 0; i < known.size(); i++) {
            double place = (double) (shorter ? i : known.size() - 1 - i) / known.size();
            options.add(option(board, known.get(i), need, parts, now, place * ORDER_WEIGHT * weight));
        }
        Comparator<Option> byHarm = Comparator.comparingDouble(o -> o.harm() + waitCost(o, need, weight));
        options.sort(byHarm);
        Option writer = options.stream().filter(Option::mayWrite).findFirst().orElse(null);
        if (writer == null) {
            return null;
        }
        List<Option> chosen = new ArrayList<>(parts);
        chosen.add(writer);
        for (Option option : options) {
            if (chosen.size() < parts
                    && !option.engine().id().equals(writer.engine().id())) {
                chosen.add(option);
            }
        }
        return chosen.size() < parts ? null : sum(board, chosen, need, weight);
    }

    private static double waitCost(Option option, PromptNeed need, double weight) {
        return weight * Lateness.risk(need.elapsedMillis() + option.readyMillis(), need.firstAimMillis());
    }

    private static Placement sum(EngineBoard board, List<Option> chosen, PromptNeed need, double weight) {
        double first = 0;
        double harm = 0;
        List<String> engines = new ArrayList<>(chosen.size());
        for (Option option : chosen) {
            first = Math.max(first, option.readyMillis());
            harm += option.harm();
            engines.add(option.engine().id());
        }
        EngineLoad load = board.load(engines.get(0));
        first += load.profile().passMillis(1, (double) need.promptTokens())
                * chosen.get(0).engine().pace();
        double own = weight * Lateness.risk(need.elapsedMillis() + first, need.firstAimMillis());
        double cost = own + harm + weight * PART_WEIGHT * chosen.size();
        return new Placement(engines, first, cost);
    }

    private static Option option(
            EngineBoard board, EngineCandidate engine, PromptNeed need, int parts, double now, double bias) {
        EngineLoad load = board.load(engine.id());
        double read = load.profile().readMillis(need.promptTokens(), parts) * engine.pace();
        double pass = load.passMillis() * engine.pace();
        double waiting = load.nextPassReads(now);
        double harm = bias + engine.penalty();
        for (EnginePart part : load.parts()) {
            harm += part.writing ? pauseHarm(part, pass + waiting, read) : waitHarm(part, now, read, parts > 1);
        }
        double ownPause = Lateness.risk(pass + waiting + read, need.gapAimMillis());
        harm += EngineJob.weight(need.promptTokens()) * ownPause * (parts == 1 ? 0.5 : 0);
        double ready = load.startDelay(now, parts > 1) * engine.pace() + read;
        return new Option(engine, ready, harm, hasRoom(load, engine.id(), need));
    }

    private static double pauseHarm(EnginePart part, double pause, double read) {
        double aim = part.job.gapAimMillis();
        return part.job.weight() * (Lateness.risk(pause + read, aim) - Lateness.risk(pause, aim));
    }

    private static double waitHarm(EnginePart part, double now, double read, boolean split) {
        boolean overtaken = !part.started(now) && (split || !part.split);
        if (!overtaken) {
            return 0;
        }
        double aim = part.job.firstAimMillis();
        double first = now - part.placedAt + part.leftMillis(now);
        return part.job.weight() * (Lateness.risk(first + read, aim) - Lateness.risk(first, aim));
    }

    private static boolean hasRoom(EngineLoad load, String engine, PromptNeed need) {
        double tokens = load.memoryTokens(engine) + need.promptTokens() + need.outputTokens();
        return load.occupied(engine) < load.profile().slots()
                && tokens <= load.profile().memoryTokens() * MEMORY_SHARE;
    }
}
