package org.endivehold.daemon.request;

import java.util.List;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.CacheEvent;
import org.jboss.logging.Logger;

/**
 * Reads the cache events of one engine per period, in rotation, so that the load of a daemon does not grow with the
 * number of engines.
 */
final class CacheEventReader {
    /** Time between two reads, in milliseconds. */
    static final long PERIOD_MILLIS = 500;

    private static final Logger log = Logger.getLogger(CacheEventReader.class);

    private final GenerationResources resources;
    private final EngineSelector selector;
    private int nextIndex;
    private boolean reading;

    /**
     * Creates a reader.
     *
     * @param resources gives the adapters of the engines
     * @param selector gives the engines and holds the prefix index that the events update
     */
    CacheEventReader(GenerationResources resources, EngineSelector selector) {
        this.resources = resources;
        this.selector = selector;
    }

    /** Reads the events of the next engine, unless the previous read is still in progress. */
    void readNext() {
        List<UpstreamName> engines = selector.servingEngines();
        if (reading || engines.isEmpty()) {
            return;
        }
        UpstreamName name = engines.get(nextIndex++ % engines.size());
        try {
            reading = true;
            resources
                    .upstreams()
                    .engine(name)
                    .cacheEvents(selector.prefixIndex().lastEvent(name))
                    .whenComplete((events, failure) -> readCompleted(name, events, failure));
        } catch (EndiveholdException e) {
            readCompleted(name, null, e);
        }
    }

    private void readCompleted(UpstreamName name, List<CacheEvent> events, Throwable failure) {
        reading = false;
        if (events != null) {
            selector.prefixIndex().events(name, events);
        } else {
            LogEvent.of("cache-events-not-read")
                    .with("upstream", name)
                    .with("reason", failure == null ? null : failure.getMessage())
                    .debug(log);
        }
    }
}
