package org.endivehold.relay.state;

import org.endivehold.misc.LogEvent;
import org.jboss.logging.Logger;

/** Log events of the copy of one prefix of the store; docs/METRICS-AND-LOGS.md lists them. */
final class StoreEvents {
    /** The name that these events have always had in the logs. */
    private static final Logger log = Logger.getLogger(WatchedPrefix.class);

    private final String prefix;

    StoreEvents(String prefix) {
        this.prefix = prefix;
    }

    void copyTaken(StorePosition had, StorePosition taken, String from) {
        LogEvent.of("store-copy-taken")
                .with("prefix", prefix)
                .with("from", from)
                .with("era", taken.era())
                .with("revision", taken.revision())
                .with("had", had.revision())
                .info(log);
    }

    void confirmationExpired(StorePosition position, double unheardMillis) {
        LogEvent.of("store-confirmation-expired")
                .with("prefix", prefix)
                .with("revision", position.revision())
                .with("unheard_ms", Math.round(unheardMillis))
                .info(log);
    }

    void answerNotHandled(StorePosition position, Throwable cause) {
        LogEvent.of("store-answer-not-handled")
                .with("prefix", prefix)
                .with("revision", position.revision())
                .with("reason", cause)
                .warn(log);
    }

    void regained(String from, double silentMillis) {
        LogEvent.of("store-regained")
                .with("prefix", prefix)
                .with("from", from)
                .with("silent_ms", silentMillis)
                .info(log);
    }

    void historyGone(StorePosition position) {
        LogEvent.of("store-history-gone")
                .with("prefix", prefix)
                .with("revision", position.revision())
                .info(log);
    }

    /** The time since the copy was confirmed may be infinite. */
    void lost(StorePosition position, double unheardMillis, Throwable cause) {
        LogEvent.of("store-lost")
                .with("prefix", prefix)
                .with("revision", position.revision())
                .with("unheard_ms", Math.round(Math.min(unheardMillis, Integer.MAX_VALUE)))
                .with("reason", cause)
                .warn(log);
    }

    void restored(StorePosition had, StorePosition to) {
        LogEvent.of("store-restored")
                .with("prefix", prefix)
                .with("era", to.era())
                .with("revision", to.revision())
                .with("had_era", had.era())
                .with("had", had.revision())
                .warn(log);
    }
}
