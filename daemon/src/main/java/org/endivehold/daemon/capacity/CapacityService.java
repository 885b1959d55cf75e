package org.endivehold.daemon.capacity;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.endivehold.capacity.Capacity;
import org.endivehold.capacity.ColdShareCapacity;
import org.endivehold.capacity.ConfiguredCapacity;
import org.endivehold.capacity.EqualShareCapacity;
import org.endivehold.capacity.Permit;
import org.endivehold.capacity.ReservationRequest;
import org.endivehold.capacity.Share;
import org.endivehold.capacity.UnlimitedCapacity;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.membership.MemberDirectory;
import org.endivehold.misc.UpstreamName;

/** Provides the capacity of this daemon, by the implementation that the setting {@code capacity.policy} selects. */
public final class CapacityService implements Service, Capacity {
    /** Name under which the kernel keeps the service. */
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
    public Set<String> dependencies() {
        return Set.of(ActiveConfiguration.NAME, MemberDirectory.NAME);
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
        MemberDirectory hosts = kernel.find(MemberDirectory.NAME, MemberDirectory.class);
        String policy = context.settings().capacity().policy();
        return switch (policy) {
            case ColdShareCapacity.NAME ->
                subscribeToConfiguration(
                        kernel, new ColdShareCapacity(context.settings().host(), () -> hostNames(hosts)));
            case UnlimitedCapacity.NAME -> subscribeToConfiguration(kernel, new UnlimitedCapacity());
            case EqualShareCapacity.NAME ->
                subscribeToConfiguration(kernel, new EqualShareCapacity(hosts::memberCount));
            default -> throw new EndiveholdException(ErrorType.SETTINGS_INVALID, "capacity.policy", policy);
        };
    }

    private static Capacity subscribeToConfiguration(Kernel kernel, ConfiguredCapacity capacity)
            throws EndiveholdException {
        kernel.find(ActiveConfiguration.NAME, ActiveConfiguration.class).listen(capacity);
        return capacity;
    }

    private static Collection<String> hostNames(MemberDirectory hosts) {
        List<String> names = new ArrayList<>();
        names.add(hosts.self().host().value());
        hosts.others().forEach(member -> names.add(member.host().value()));
        return names;
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
}
