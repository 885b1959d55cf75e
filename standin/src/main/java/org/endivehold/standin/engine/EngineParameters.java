package org.endivehold.standin.engine;

import java.util.Set;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.misc.ZoneName;

/**
 * Capacity and timing of a stand-in engine. All times are given as in real time and are divided by {@code speed}.
 *
 * @param name name of the upstream
 * @param zone its availability zone
 * @param versions model versions that are loaded at start
 * @param slots concurrent streams when warm
 * @param coldSlots concurrent streams during cold start
 * @param memoryTokens KV memory in tokens
 * @param prefillTokensPerSecond prefill rate in tokens per second
 * @param stepMicros duration of a decoding step with one stream, in microseconds
 * @param stepPerStreamMicros time that each further stream adds to a step, in microseconds
 * @param coldMillis duration of cold start, in milliseconds
 * @param restartMillis time from a crash until the engine accepts work again, in milliseconds
 * @param crashFactor the engine crashes during cold start when its streams exceed this multiple of {@code coldSlots}
 * @param loadMillis time to load a model version, in milliseconds
 * @param reportMillis period of load reports and delay of cache events, in milliseconds
 * @param checksFencing whether orders with an outdated epoch are refused
 * @param speed factor by which all of the above run faster; 1 for real time
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
        double crashFactor,
        long loadMillis,
        long reportMillis,
        boolean checksFencing,
        double speed) {
    /**
     * Returns a builder with the default figures of a mid-range engine.
     *
     * @param name name of the upstream
     * @param zone its availability zone
     * @param version the model version that is loaded at start
     * @return a builder
     */
    public static Builder builder(String name, String zone, String version) {
        return new Builder(name, zone, version);
    }

    /**
     * Returns the time to the first token on an idle engine with an empty prefix cache.
     *
     * @param promptTokens length of the prompt in tokens
     * @return milliseconds, already divided by {@code speed}
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
        private double crashFactor = 2;
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
         * Sets the model versions that are loaded at start.
         *
         * @param value the versions; copied
         * @return this
         */
        public Builder versions(Set<VersionName> value) {
            versions = Set.copyOf(value);
            return this;
        }

        /**
         * Sets the number of concurrent streams.
         *
         * @param warm when warm
         * @param cold during cold start
         * @return this
         */
        public Builder slots(int warm, int cold) {
            slots = warm;
            coldSlots = cold;
            return this;
        }

        /**
         * Sets the KV memory.
         *
         * @param tokens size in tokens
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
         * Sets the duration of decoding steps.
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
         * Sets the durations of cold start and of a restart after a crash.
         *
         * @param millis duration of cold start, in milliseconds
         * @param restart time from a crash until the engine accepts work again, in milliseconds
         * @return this
         */
        public Builder cold(long millis, long restart) {
            coldMillis = millis;
            restartMillis = restart;
            return this;
        }

        /**
         * Sets the period of load reports, which is also the delay of cache events.
         *
         * @param millis milliseconds
         * @return this
         */
        public Builder reportMillis(long millis) {
            reportMillis = millis;
            return this;
        }

        /**
         * Sets the time to load a model version.
         *
         * @param millis milliseconds
         * @return this
         */
        public Builder loadMillis(long millis) {
            loadMillis = millis;
            return this;
        }

        /**
         * Sets whether orders with an outdated epoch are refused.
         *
         * @param value false for an engine that carries out every order
         * @return this
         */
        public Builder checksFencing(boolean value) {
            checksFencing = value;
            return this;
        }

        /**
         * Sets the factor by which all times are divided.
         *
         * @param factor one for real time
         * @return this
         */
        public Builder speed(double factor) {
            speed = factor;
            return this;
        }

        /**
         * Creates the parameters from the current values.
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
                    crashFactor,
                    loadMillis,
                    reportMillis,
                    checksFencing,
                    speed);
        }
    }
}
