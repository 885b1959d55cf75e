package org.endivehold.relay.room;

import org.endivehold.misc.LogEvent;
import org.jboss.logging.Logger;

/** Writes a log line when a claim is made, used by its request, or ends unused. */
public final class LoggedClaims implements ClaimListener {
    private static final Logger log = Logger.getLogger(LoggedClaims.class);

    @Override
    public void made(RoomClaim claim, double now) {
        long tokens =
                claim.engines().values().stream().mapToLong(ClaimedRoom::tokens).sum();
        LogEvent.of("room-claimed")
                .with("service", claim.service())
                .with("job", claim.request())
                .with("engines", String.join(",", claim.engines().keySet()))
                .with("tokens", tokens)
                .with("due_ms", Math.round(claim.dueAt() - now))
                .info(log);
    }

    @Override
    public void ended(RoomClaim claim, ClaimEnd reason, double now) {
        long overdue = Math.round(now - claim.dueAt());
        if (reason == ClaimEnd.PLACED) {
            LogEvent.of("room-used")
                    .with("service", claim.service())
                    .with("job", claim.request())
                    .with("overdue_ms", overdue)
                    .info(log);
        } else {
            LogEvent.of("room-released")
                    .with("service", claim.service())
                    .with("job", claim.request())
                    .with("reason", reason)
                    .with("overdue_ms", overdue)
                    .info(log);
        }
    }
}
