package org.endivehold.standin.engine;

import java.util.Set;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.misc.ZoneName;

/**
 * What a stand-in engine can do. All times are those of an engine in real life; the speed-up divides them.
 *
 * @param name the upstream
 * @param zone its availability zone
 * @param versions versions that are loaded at first
 * @param slots streams at once when warm
 * @param coldSlots streams at once in cold start
 * @param memoryTokens KV memory in tokens
 * @param prefillTokensPerSecond prefill rate
 * @param stepMicros time of a decoding step with one stream, in microseconds
 * @param stepPerStreamMicros time that each further stream adds to a step, in microseconds
 * @param coldMillis time from start until warm, in milliseconds
 * @param restartMillis time from falling over until it answers again, in milliseconds
 * @param fallFactor it falls over in cold start when it has this many times its cold slots
 * @param loadMillis time to load a version in milliseconds
 * @param reportMillis lag of load reports and cache events in milliseconds
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param speed factor that speeds all of the above up
 */
public record EngineParameters(
        UpstreamName name,
        ZoneName zone,
        Set<VersionName> versions,
        int slots,
        int coldSlots,
        long memoryTokens,
        double prefillTokensPerSecond,
        double stepMicros,
        double stepPerStreamMicros,
        long coldMillis,
        long restartMillis,
        double fallFactor,
        long loadMillis,
        long reportMillis,
        boolean checksFencing,
        double speed) {
    /**
     * Starts a builder with the figures of a middling engine.
     *
     * @param name the upstream
     * @param zone its zone
     * @param version the version that it has loaded
     * @return a builder
     */
    public static Builder builder(String name, String zone, String version) {
        return new Builder(name, zone, version);
    }

    /**
     * Returns how long a prompt takes that finds the engine idle and its cache empty.
     *
     * @param promptTokens tokens of the prompt
     * @return milliseconds until the first token, with the speed-up
     */
    public double bareFirstTokenMillis(long promptTokens) {
        return (promptTokens * 1_000.0 / prefillTokensPerSecond + stepMicros / 1_000.0) / speed;
    }

    /** Builds {@link EngineParameters}. */
    public static final class Builder {
        private final UpstreamName name;
        private final ZoneName zone;
        private Set<VersionName> versions;
        private int slots = 64;
        private int coldSlots = 4;
        private long memoryTokens = 480_000;
        private double prefillTokensPerSecond = 20_000;
        private double stepMicros = 20_000;
        private double stepPerStreamMicros = 400;
        private long coldMillis = 20_000;
        private long restartMillis = 5_000;
        private double fallFactor = 2;
        private long loadMillis = 10_000;
        private long reportMillis = 1_000;
        private boolean checksFencing = true;
        private double speed = 1;

        private Builder(String name, String zone, String version) {
            this.name = new UpstreamName(name);
            this.zone = new ZoneName(zone);
            this.versions = Set.of(new VersionName(version));
        }

        /**
         * Sets the loaded versions.
         *
         * @param value versions
         * @return this
         */
        public Builder versions(Set<VersionName> value) {
            versions = Set.copyOf(value);
            return this;
        }

        /**
         * Sets the streams that it bears.
         *
         * @param warm when warm
         * @param cold in cold start
         * @return this
         */
        public Builder slots(int warm, int cold) {
            slots = warm;
            coldSlots = cold;
            return this;
        }

        /**
         * Sets the memory.
         *
         * @param tokens tokens
         * @return this
         */
        public Builder memory(long tokens) {
            memoryTokens = tokens;
            return this;
        }

        /**
         * Sets the prefill rate.
         *
         * @param tokensPerSecond tokens per second
         * @return this
         */
        public Builder prefill(double tokensPerSecond) {
            prefillTokensPerSecond = tokensPerSecond;
            return this;
        }

        /**
         * Sets the time of decoding steps.
         *
         * @param micros with one stream, in microseconds
         * @param perStreamMicros added by each further stream, in microseconds
         * @return this
         */
        public Builder step(double micros, double perStreamMicros) {
            stepMicros = micros;
            stepPerStreamMicros = perStreamMicros;
            return this;
        }

        /**
         * Sets the cold phase.
         *
         * @param millis time until warm in milliseconds
         * @param restart time to answer again after falling over, in milliseconds
         * @return this
         */
        public Builder cold(long millis, long restart) {
            coldMillis = millis;
            restartMillis = restart;
            return this;
        }

        /**
         * Sets the lag of reports.
         *
         * @param millis milliseconds
         * @return this
         */
        public Builder report(long millis) {
            reportMillis = millis;
            return this;
        }

        /**
         * Sets the time to load a version.
         *
         * @param millis milliseconds
         * @return this
         */
        public Builder load(long millis) {
            loadMillis = millis;
            return this;
        }

        /**
         * Sets whether orders with an old fencing number are refused.
         *
         * @param value true if so
         * @return this
         */
        public Builder checksFencing(boolean value) {
            checksFencing = value;
            return this;
        }

        /**
         * Sets the speed-up.
         *
         * @param factor one for real time
         * @return this
         */
        public Builder speed(double factor) {
            speed = factor;
            return this;
        }

        /**
         * Builds the parameters.
         *
         * @return the parameters
         */
        public EngineParameters build() {
            return new EngineParameters(
                    name,
                    zone,
                    versions,
                    slots,
                    coldSlots,
                    memoryTokens,
                    prefillTokensPerSecond,
                    stepMicros,
                    stepPerStreamMicros,
                    coldMillis,
                    restartMillis,
                    fallFactor,
                    loadMillis,
                    reportMillis,
                    checksFencing,
                    speed);
        }
    }
}
