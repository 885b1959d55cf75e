package org.endivehold.relay.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntUnaryOperator;
import org.endivehold.misc.RendezvousHash;
import org.endivehold.relay.crash.Admission;
import org.endivehold.relay.crash.CrashSuspects;
import org.endivehold.relay.crash.LostAttempt;
import org.endivehold.relay.crash.RequestTrait;
import org.endivehold.relay.crash.SoundTrait;
import org.endivehold.relay.crash.SuspectTrait;
import org.endivehold.relay.crash.UpstreamStart;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.SuspectExchange;
import org.endivehold.relay.peer.SuspectPeers;

/**
 * Simulates daemons that exchange evidence on requests that crash engines, and engines that end when they begin to
 * answer a prompt with a crashing part, or when they begin to run a crashing request. Placement is at random over the
 * engines that are up; a lost request is sent once more if its daemon allows it. Engines come back after some seconds
 * as new starts.
 *
 * <p>Daemons of a small fleet are all connected; in a large fleet, the first three are coordinators to which all others
 * are connected. Messages are late and may be lost.
 */
final class CrashingFleet {
    private static final int MAX_FULL_MESH_SIZE = 9;
    private static final int COORDINATORS = 3;
    private static final int WRITERS = 2;
    private static final double PREDICTED_MILLIS = 100;
    private static final double CRASH_DELAY_MILLIS = 60;
    private static final double MIN_DOWN_MILLIS = 2_000;
    private static final double SOUND_AFTER_MILLIS = 1_000;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final double lossRate;
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final Map<String, SuspectTrait> store = new HashMap<>();
    private final Set<RequestTrait> crashing = new HashSet<>();
    private final CrashLog log = new CrashLog();
    private double coincidentCrashesPerSecond;
    private int requests;
    private int soundSent;
    private int soundServedAtOnce;

    CrashingFleet(int daemonCount, int engineCount, double lossRate, long seed) {
        this.random = new Random(seed);
        this.lossRate = lossRate;
        for (int i = 0; i < daemonCount; i++) {
            daemons.add(new Daemon(i));
        }
        for (int i = 0; i < engineCount; i++) {
            engines.add(new Engine(i));
        }
    }

    /** One start of a daemon. */
    private final class Daemon implements SuspectPeers, CrashSuspects.Listener {
        private final int index;
        private final CrashSuspects suspects;
        private final SuspectExchange exchange;
        private boolean up = true;

        Daemon(int index) {
            this.index = index;
            suspects = new CrashSuspects(
                    (trait, turn) -> RendezvousHash.chosen(name(), names(), trait + "#" + turn, 1), this);
            exchange = new SuspectExchange(suspects, () -> (long) time.now(), this);
            List.copyOf(store.values()).forEach(barred -> suspects.merge(barred, time.now()));
        }

        @Override
        public void barred(SuspectTrait evidence) {
            if (RendezvousHash.chosen(name(), names(), evidence.trait().toString(), WRITERS)) {
                store.put(evidence.trait().toString(), evidence);
            }
        }

        @Override
        public void released(RequestTrait trait) {
            store.remove(trait.toString());
        }

        private String name() {
            return Integer.toString(index);
        }

        @Override
        public void spread(PeerMessage message) {
            for (Daemon other : daemons) {
                boolean connected =
                        daemons.size() <= MAX_FULL_MESH_SIZE || index < COORDINATORS || other.index < COORDINATORS;
                if (other.index != index && connected) {
                    send(other.name(), message);
                }
            }
        }

        @Override
        public void send(String daemon, PeerMessage message) {
            if (random.nextDouble() < lossRate) {
                return;
            }
            time.after(5 + random.nextInt(25), () -> {
                Daemon to = daemons.get(Integer.parseInt(daemon));
                if (to.up) {
                    to.exchange.handle(name(), message);
                }
            });
        }

        /** Asks the connected daemons for what they know, as after a start. */
        void connect() {
            for (Daemon other : daemons) {
                if (other != this && other.up) {
                    other.exchange.knowledge().forEach(message -> other.send(name(), message));
                }
            }
        }

        void request(RequestTrait whole, List<RequestTrait> parts, int attempt) {
            if (!up) {
                return;
            }
            List<RequestTrait> traits = new ArrayList<>(parts);
            traits.add(whole);
            boolean sound = traits.stream().noneMatch(crashing::contains);
            if (sound && attempt == 0) {
                soundSent++;
            }
            if (suspects.admit(traits, time.now()).verdict() == Admission.Verdict.REFUSE) {
                return;
            }
            List<Engine> usable = engines.stream().filter(engine -> engine.up).toList();
            if (usable.isEmpty()) {
                return;
            }
            if (sound && attempt == 0) {
                soundServedAtOnce++;
            }
            traits.stream().filter(crashing::contains).forEach(trait -> log.sent(trait, time.now()));
            usable.get(random.nextInt(usable.size())).serve(new Attempt(this, whole, parts, attempt, time.now()));
        }

        void lost(Attempt lost, UpstreamStart start) {
            if (!up) {
                return;
            }
            double now = time.now();
            LostAttempt facts = new LostAttempt(
                    "r",
                    start,
                    lost.whole,
                    lost.parts,
                    now - lost.sentAt,
                    PREDICTED_MILLIS,
                    lost.beganAt < 0 ? OptionalDouble.empty() : OptionalDouble.of(now - lost.beganAt));
            List<RequestTrait> news = suspects.recordCrash(start, facts.suspects(), now);
            SuspectTrait.Crash crash = new SuspectTrait.Crash(start, 0);
            exchange.spread(new PeerMessage.TraitsSuspected(news.stream()
                    .map(trait -> new SuspectTrait(trait, List.of(crash), 0))
                    .toList()));
            if (lost.number == 0 && suspects.mayRetry(facts.traits(), start)) {
                request(lost.whole, lost.parts, 1);
            }
        }

        void answered(List<RequestTrait> traits) {
            List<RequestTrait> cleared = suspects.recordSound(traits, time.now());
            if (up && !cleared.isEmpty()) {
                exchange.spread(new PeerMessage.TraitsSound(
                        cleared.stream().map(trait -> new SoundTrait(trait, 0)).toList()));
            }
        }
    }

    /** One attempt of a request at an engine. */
    private static final class Attempt {
        private final Daemon daemon;
        private final RequestTrait whole;
        private final List<RequestTrait> parts;
        private final int number;
        private final double sentAt;
        private double beganAt = -1;

        Attempt(Daemon daemon, RequestTrait whole, List<RequestTrait> parts, int number, double sentAt) {
            this.daemon = daemon;
            this.whole = whole;
            this.parts = parts;
            this.number = number;
            this.sentAt = sentAt;
        }

        List<RequestTrait> traits() {
            List<RequestTrait> traits = new ArrayList<>(parts);
            traits.add(whole);
            return traits;
        }
    }

    private final class Engine {
        private final int index;
        private final Set<Attempt> running = new LinkedHashSet<>();
        private int starts;
        private boolean up = true;

        Engine(int index) {
            this.index = index;
        }

        void serve(Attempt attempt) {
            running.add(attempt);
            int start = starts;
            time.after(60 + random.nextInt(100), () -> begin(attempt, start));
        }

        private void begin(Attempt attempt, int start) {
            if (starts != start || !up) {
                return;
            }
            if (crashing.contains(attempt.whole)) {
                crash(start, attempt.whole);
                return;
            }
            attempt.beganAt = time.now();
            for (RequestTrait part : attempt.parts) {
                if (crashing.contains(part)) {
                    time.after(CRASH_DELAY_MILLIS, () -> crash(start, part));
                    return;
                }
            }
            double length = 400 + random.nextInt(2_000);
            time.after(Math.min(length, SOUND_AFTER_MILLIS), () -> {
                if (starts == start && up) {
                    attempt.daemon.answered(attempt.traits());
                }
            });
            time.after(length, () -> running.remove(attempt));
        }

        private void crash(int start, RequestTrait culprit) {
            if (starts == start && up) {
                log.crashed(culprit, time.now());
                end();
            }
        }

        void end() {
            if (!up) {
                return;
            }
            up = false;
            UpstreamStart ended = new UpstreamStart("e" + index, starts);
            List<Attempt> lost = List.copyOf(running);
            running.clear();
            lost.forEach(attempt -> time.after(4, () -> attempt.daemon.lost(attempt, ended)));
            time.after(MIN_DOWN_MILLIS + random.nextInt(2_000), () -> {
                starts++;
                up = true;
            });
        }
    }

    private List<String> names() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < daemons.size(); i++) {
            names.add(Integer.toString(i));
        }
        return names;
    }

    /** Makes a part crash engines from now on. */
    CrashingFleet crash(String part) {
        crashing.add(RequestTrait.promptPart(part));
        return this;
    }

    /** Makes single engines end for another reason. */
    CrashingFleet coincidentCrashes(double perSecond) {
        coincidentCrashesPerSecond = perSecond;
        return this;
    }

    /** Sends requests at a rate a second, each with parts drawn by the supplier, for a time in milliseconds. */
    CrashingFleet load(double perSecond, double millis, Function<Random, List<String>> draw) {
        double at = 0;
        while (at < millis) {
            at += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
            List<RequestTrait> parts =
                    draw.apply(random).stream().map(RequestTrait::promptPart).toList();
            RequestTrait whole = new RequestTrait(RequestTrait.Kind.WHOLE_REQUEST, "unique" + requests++);
            time.after(at, () -> daemons.get(random.nextInt(daemons.size())).request(whole, parts, 0));
        }
        return this;
    }

    /** Makes a whole request crash engines from now on. */
    CrashingFleet crashRequest(String request) {
        crashing.add(repeated(request));
        return this;
    }

    /**
     * Sends one request again and again.
     *
     * @param request its name
     * @param part the part of its prompt that it shares with others; empty for none
     * @param at when each repeat is sent, in milliseconds
     * @param daemon which daemon gets each repeat; modulo the number of daemons
     */
    CrashingFleet repeat(String request, String part, List<Double> at, IntUnaryOperator daemon) {
        List<RequestTrait> parts = part.isEmpty() ? List.of() : List.of(RequestTrait.promptPart(part));
        for (int i = 0; i < at.size(); i++) {
            int index = daemon.applyAsInt(i) % daemons.size();
            time.after(at.get(i), () -> daemons.get(index).request(repeated(request), parts, 0));
        }
        return this;
    }

    private static RequestTrait repeated(String request) {
        return new RequestTrait(RequestTrait.Kind.WHOLE_REQUEST, request);
    }

    /** Returns the repeats of a request that were sent later than a time after its third crash, in milliseconds. */
    long sentAfterThirdCrash(String request, double millis) {
        return log.sentAfterCrash(repeated(request), 3, millis);
    }

    int crashesOfRequest(String request) {
        return log.crashes(repeated(request));
    }

    /** Ends one daemon after a time in milliseconds and starts it again a second later, without its memory. */
    CrashingFleet restart(int daemon, double atMillis) {
        time.after(atMillis, () -> daemons.get(daemon).up = false);
        time.after(atMillis + 1_000, () -> {
            daemons.set(daemon, new Daemon(daemon));
            daemons.get(daemon).connect();
        });
        return this;
    }

    CrashingFleet run(double millis) {
        double at = 0;
        while (coincidentCrashesPerSecond > 0 && at < millis) {
            at += -Math.log(1 - random.nextDouble()) * 1_000 / coincidentCrashesPerSecond;
            time.after(at, () -> engines.get(random.nextInt(engines.size())).end());
        }
        time.runUntil(millis);
        return this;
    }

    /** Returns the part of the sound requests that reached an engine at their first attempt. */
    double soundShare() {
        return (double) soundServedAtOnce / soundSent;
    }

    int crashes(String part) {
        return log.crashes(RequestTrait.promptPart(part));
    }

    /** Returns the requests with a part that were sent later than a time after the fifth crash, in milliseconds. */
    long sentAfterFifthCrash(String part, double millis) {
        return log.sentAfterCrash(RequestTrait.promptPart(part), 5, millis);
    }

    /** Returns the daemons that bar a part. */
    long barredAt(String part) {
        return daemons.stream()
                .filter(daemon -> daemon.suspects
                        .findBarred(List.of(RequestTrait.promptPart(part)))
                        .isPresent())
                .count();
    }

    /** Returns the number of parts that any daemon bars without need. */
    long barredWithoutNeed() {
        return daemons.stream()
                .flatMap(daemon -> daemon.suspects.barredTraits().stream())
                .filter(part -> !crashing.contains(part))
                .distinct()
                .count();
    }
}
