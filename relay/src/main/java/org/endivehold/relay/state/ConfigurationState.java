package org.endivehold.relay.state;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.route.RoutingTable;
import org.jboss.logging.Logger;

/**
 * The version of the operators' configuration that is in force at this daemon, with its document.
 *
 * <p>Versions are ordered by the operators' number alone, whatever the source: the store, also after it was restored
 * from an older copy, or another daemon. So the version in force never falls. Example: version 9 is in force, and a
 * restored store holds version 7; 9 stays in force, and daemons that start meanwhile get 9 from this one.
 */
public final class ConfigurationState {
    private static final Logger log = Logger.getLogger(ConfigurationState.class);

    private final GuardedDecoder decoder;
    private final List<Runnable> listeners = new ArrayList<>();
    private RoutingTable table;
    private Buffer document;

    ConfigurationState(StoreDecoder decoder) {
        this.decoder = new GuardedDecoder(decoder);
    }

    /** Adds a listener that runs after each change of the version in force. */
    public void onNewVersion(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the configuration in force; empty until one has been read. */
    public Optional<RoutingTable> table() {
        return Optional.ofNullable(table);
    }

    /** Returns the document of the configuration in force; empty until one has been read. */
    public Optional<Buffer> document() {
        return Optional.ofNullable(document);
    }

    /** Returns the version in force; empty until one has been read. */
    public Optional<Long> version() {
        return table().map(RoutingTable::version);
    }

    /** Puts the configuration of an item of the store in force, unless a newer one is or it is malformed. */
    void offer(SharedStore.Item item) {
        offer(
                item.value(),
                LogEvent.of("configuration-in-force")
                        .with("source", "store")
                        .with("era", item.position().era())
                        .with("revision", item.position().revision()));
    }

    /**
     * Puts the configuration that another daemon has in force in force here, unless a newer one is or it is malformed.
     */
    public void offer(Buffer theirs, String daemon) {
        offer(theirs, LogEvent.of("configuration-in-force").with("source", daemon));
    }

    /** A document that is in force is not decoded again: it arrives from the store and from other daemons. */
    private void offer(Buffer offered, LogEvent inForce) {
        if (offered.equals(document)) {
            return;
        }
        try {
            RoutingTable decoded = decoder.configuration(offered);
            if (table != null && decoded.version() < table.version()) {
                LogEvent.of("configuration-older")
                        .with("version", decoded.version())
                        .with("in_force", table.version())
                        .warn(log);
                return;
            }
            boolean newer = table == null || decoded.version() > table.version();
            table = decoded;
            document = offered;
            inForce.with("version", decoded.version())
                    .with("routes", decoded.size())
                    .info(log);
            if (newer) {
                listeners.forEach(Runnable::run);
            }
        } catch (EndiveholdException e) {
            LogEvent.of("configuration-unreadable")
                    .with("bytes", offered.length())
                    .with("reason", e.getMessage())
                    .warn(log);
        }
    }
}
