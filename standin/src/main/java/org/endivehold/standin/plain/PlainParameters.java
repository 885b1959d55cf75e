package org.endivehold.standin.plain;

import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;

/**
 * Capacity and timing of a stand-in for a plain service.
 *
 * @param name name of the upstream
 * @param zone its availability zone
 * @param slots concurrent calls when warm
 * @param coldSlots concurrent calls during cold start
 * @param coldMillis duration of cold start after a restart, in milliseconds
 */
public record PlainParameters(UpstreamName name, ZoneName zone, int slots, int coldSlots, long coldMillis) {}
