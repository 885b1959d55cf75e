package org.endivehold.standin.plain;

import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;

/**
 * What a stand-in for a plain service can do.
 *
 * @param name the upstream
 * @param zone its availability zone
 * @param slots calls at once when warm
 * @param coldSlots calls at once in cold start
 * @param coldMillis time from start until warm, in milliseconds
 */
public record PlainParameters(UpstreamName name, ZoneName zone, int slots, int coldSlots, long coldMillis) {}
