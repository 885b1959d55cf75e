package org.endivehold.daemon.grant;

import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.grant.Capacity;
import org.endivehold.grant.ConfiguredCapacity;
import org.endivehold.grant.EqualShareCapacity;
import org.endivehold.grant.GrantedCapacity;
import org.endivehold.grant.Permit;
import org.endivehold.grant.ReservationRequest;
import org.endivehold.grant.Share;
import org.endivehold.grant.UnlimitedCapacity;
import org.endivehold.membership.LiveHosts;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;

/** The capacity of this daemon under the name {@code capacity}, by the implementation that the settings select. */
public final class CapacityService implements Service, Capacity {
    /** Name of the service. */
    public static final String NAME = "capacity";

    private final DaemonContext context;
    private Capacity delegate = new UnlimitedCapacity();

    /**
     * Creates the service.
     *
     * @param context the daemon's context
     */
    public CapacityService(DaemonContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> needs() {
        return Set.of(ActiveConfiguration.NAME, GrantService.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            delegate = select(kernel);
            return Future.succeededFuture();
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
    }

    private Capacity select(Kernel kernel) throws EndiveholdException {
        String policy = context.settings().grants().policy();
        return switch (policy) {
            case GrantedCapacity.NAME ->
                kernel.find(GrantService.NAME, GrantService.class).capacity();
            case UnlimitedCapacity.NAME -> configured(kernel, new UnlimitedCapacity());
            case EqualShareCapacity.NAME -> configured(kernel, new EqualShareCapacity(() -> liveDaemons(kernel)));
            default -> throw new EndiveholdException(ErrorType.SETTINGS_INVALID, "grants.policy", policy);
        };
    }

    private static Capacity configured(Kernel kernel, ConfiguredCapacity capacity) throws EndiveholdException {
        kernel.find(ActiveConfiguration.NAME, ActiveConfiguration.class).listen(capacity);
        return capacity;
    }

    private static int liveDaemons(Kernel kernel) {
        List<LiveHosts> found = kernel.all(LiveHosts.class);
        return found.isEmpty() ? 1 : found.get(0).liveCount();
    }

    @Override
    public Future<Void> stop() {
        return Future.succeededFuture();
    }

    @Override
    public List<Share> shares(long now) {
        return delegate.shares(now);
    }

    @Override
    public Optional<Permit> acquire(UpstreamName upstream, long memoryTokens, long now) {
        return delegate.acquire(upstream, memoryTokens, now);
    }

    @Override
    public CompletionStage<List<Permit>> reserve(ReservationRequest request, long now) {
        return delegate.reserve(request, now);
    }

    @Override
    public void release(Permit permit, long now) {
        delegate.release(permit, now);
    }

    @Override
    public void suspect(UpstreamName upstream, long now) {
        delegate.suspect(upstream, now);
    }

    @Override
    public void demand(UpstreamName upstream, int slots, long memoryTokens) {
        delegate.demand(upstream, slots, memoryTokens);
    }

    @Override
    public void streamStarted(UpstreamName upstream, StreamId stream) {
        delegate.streamStarted(upstream, stream);
    }

    @Override
    public void streamEnded(UpstreamName upstream, StreamId stream) {
        delegate.streamEnded(upstream, stream);
    }
}
