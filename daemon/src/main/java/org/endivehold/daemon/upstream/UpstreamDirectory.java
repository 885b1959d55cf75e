package org.endivehold.daemon.upstream;

import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.PlainService;

/** Finds the adapter of each upstream of the configuration in force. */
public interface UpstreamDirectory {
    /** Name of the service. */
    String NAME = "upstreams";

    /**
     * Finds an engine.
     *
     * @param name the upstream
     * @return its adapter
     * @throws EndiveholdException of type {@code NO_UPSTREAM} if no engine of that name is configured
     */
    Engine engine(UpstreamName name) throws EndiveholdException;

    /**
     * Finds a plain service.
     *
     * @param name the upstream
     * @return its adapter
     * @throws EndiveholdException of type {@code NO_UPSTREAM} if no plain service of that name is configured
     */
    PlainService plain(UpstreamName name) throws EndiveholdException;
}
