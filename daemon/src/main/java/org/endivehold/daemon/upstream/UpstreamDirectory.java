package org.endivehold.daemon.upstream;

import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.PlainService;

/** Looks up the adapters of the upstreams in the active configuration. */
public interface UpstreamDirectory {
    /** Name of the service. */
    String NAME = "upstreams";

    /**
     * Looks up an engine.
     *
     * @param name the upstream
     * @return its adapter
     * @throws EndiveholdException of type {@code NO_UPSTREAM} if no engine of that name is configured
     */
    Engine engine(UpstreamName name) throws EndiveholdException;

    /**
     * Looks up a plain service.
     *
     * @param name the upstream
     * @return its adapter
     * @throws EndiveholdException of type {@code NO_UPSTREAM} if no plain service of that name is configured
     */
    PlainService plainService(UpstreamName name) throws EndiveholdException;
}
