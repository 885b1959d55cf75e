package org.endivehold.bench.start;

/**
 * What one start used.
 *
 * @param portsOpen when the ports were open
 * @param configured when the configuration was in force and all upstreams were known
 * @param answered when the first request had its response
 * @param peakMegabytes largest amount of resident memory until then
 */
public record StartSample(Mark portsOpen, Mark configured, Mark answered, double peakMegabytes) {
    /**
     * A point of a start.
     *
     * @param cpuMillis CPU time of the process until then
     * @param wallMillis time since the process was started
     */
    public record Mark(double cpuMillis, double wallMillis) {}
}
