package org.endivehold.relay.serve;

import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;
import org.endivehold.relay.path.PathMonitor;

/**
 * Checks a process, and believes that it has ended only if this daemon reaches another upstream at that moment:
 * connections are refused as well where the path from this daemon is at fault.
 */
public final class ReferencedCheck implements ProcessCheck {
    private final ProcessCheck check;
    private final PathMonitor paths;

    /** Creates a check that asks {@code check} first. */
    public ReferencedCheck(ProcessCheck check, PathMonitor paths) {
        this.check = check;
        this.paths = paths;
    }

    @Override
    public Future<Result> check(SocketAddress address) {
        return check.check(address)
                .compose(result -> result == Result.ENDED
                        ? paths.reachesOtherThan(address).map(reached -> reached ? Result.ENDED : Result.UNKNOWN)
                        : Future.succeededFuture(result));
    }
}
