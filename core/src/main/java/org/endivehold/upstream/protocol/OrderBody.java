package org.endivehold.upstream.protocol;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Optional;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.VersionName;
import org.endivehold.upstream.EngineOrder;

/**
 * Request body of {@code POST /control/orders}.
 *
 * @param order kind of the order
 * @param epoch fencing token
 * @param version the version to load or unload; absent for other orders
 * @param stream the stream to cancel; absent for other orders
 * @param cache the exported cache to release; absent for other orders
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record OrderBody(
        Kind order, Epoch epoch, Optional<VersionName> version, Optional<StreamId> stream, Optional<String> cache) {
    /** Kinds of orders. */
    public enum Kind {
        /** Load a version. */
        @JsonProperty("load-version")
        LOAD_VERSION,
        /** Unload a version. */
        @JsonProperty("unload-version")
        UNLOAD_VERSION,
        /** Cancel a stream. */
        @JsonProperty("cancel-stream")
        CANCEL_STREAM,
        /** Release an exported cache. */
        @JsonProperty("release-cache")
        RELEASE_CACHE
    }

    /**
     * Creates the body for an order.
     *
     * @param order the order
     * @return its body
     */
    public static OrderBody of(EngineOrder order) {
        if (order instanceof EngineOrder.LoadVersion load) {
            return ofVersion(Kind.LOAD_VERSION, load.epoch(), load.version());
        }
        if (order instanceof EngineOrder.UnloadVersion unload) {
            return ofVersion(Kind.UNLOAD_VERSION, unload.epoch(), unload.version());
        }
        if (order instanceof EngineOrder.CancelStream cancel) {
            return new OrderBody(
                    Kind.CANCEL_STREAM,
                    cancel.epoch(),
                    Optional.empty(),
                    Optional.of(cancel.stream()),
                    Optional.empty());
        }
        EngineOrder.ReleaseCache release = (EngineOrder.ReleaseCache) order;
        return new OrderBody(
                Kind.RELEASE_CACHE, release.epoch(), Optional.empty(), Optional.empty(), Optional.of(release.cache()));
    }

    private static OrderBody ofVersion(Kind kind, Epoch epoch, VersionName version) {
        return new OrderBody(kind, epoch, Optional.of(version), Optional.empty(), Optional.empty());
    }
}
