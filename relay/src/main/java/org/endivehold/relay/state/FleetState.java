package org.endivehold.relay.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.UpstreamAvailability;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.UpstreamEntry;
import org.jboss.logging.Logger;

/**
 * The state of the fleet, decoded from the store's items.
 *
 * <p>Entries of upstreams that vanish during an outage of the store or shortly after it are kept for a grace period:
 * their leases may have expired although the upstreams are alive, and live upstreams write their entries again soon
 * after the outage.
 *
 * <p>A store that was restored from an older copy may have lost what operators and upstreams wrote last, until they
 * write it again. So an evacuation that the copy lacks stays in effect for the same grace period, and an upstream that
 * was leaving stays so although its older entry says that it serves.
 */
public final class FleetState implements FleetView, ItemListener {
    /** Time after the end of a store outage for which vanished entries remain in use, in milliseconds. */
    static final double LAPSE_GRACE_MILLIS = 1_900;

    private static final Logger log = Logger.getLogger(FleetState.class);

    private final StoreDecoder decoder;
    private final GuardedDecoder values;
    private final Ticker ticker;
    private final UpstreamAvailability availability;
    private final CopyAges ages;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private final Map<String, Long> eras = new HashMap<>();
    private final Set<String> lapsed = new HashSet<>();
    private final Set<String> lapsedEvacuations = new HashSet<>();
    private final Map<String, List<Upstream>> byService = new HashMap<>();
    private final ConfigurationState configuration;
    private boolean indexed;
    private boolean upstreamsRead;

    /**
     * Creates an empty state; it is filled through the methods of {@link ItemListener}.
     *
     * @param decoder knows the store's keys and decodes its values
     * @param ticker clock for the end of cold phases
     * @param availability learns which upstreams leave and which zones are evacuated
     * @param ages ages of this daemon's copies of the store's items
     */
    public FleetState(StoreDecoder decoder, Ticker ticker, UpstreamAvailability availability, CopyAges ages) {
        this.decoder = decoder;
        this.values = new GuardedDecoder(decoder);
        this.ticker = ticker;
        this.availability = availability;
        this.ages = ages;
        this.configuration = new ConfigurationState(decoder);
    }

    /** Returns the configuration in force, which other daemons may get from this one. */
    public ConfigurationState configuration() {
        return configuration;
    }

    @Override
    public boolean complete() {
        return table().isPresent() && upstreamsRead;
    }

    @Override
    public Optional<RoutingTable> table() {
        return configuration.table();
    }

    @Override
    public double sinceTableConfirmedMillis() {
        return ages.sinceOperatorEntriesHeardMillis();
    }

    @Override
    public Collection<Upstream> upstreams(String service) {
        refreshIndex();
        return byService.getOrDefault(service, List.of());
    }

    @Override
    public Collection<Upstream> upstreams() {
        return services().stream()
                .flatMap(service -> upstreams(service).stream())
                .toList();
    }

    @Override
    public Collection<String> services() {
        refreshIndex();
        return byService.keySet();
    }

    @Override
    public Optional<Upstream> upstream(String id) {
        return Optional.ofNullable(upstreams.get(id));
    }

    /** Returns a live view of the ids of all known upstreams, usable or not. */
    public Set<String> upstreamIds() {
        return upstreams.keySet();
    }

    @Override
    public void written(SharedStore.Item item) {
        String key = item.key();
        if (key.equals(decoder.configurationKey())) {
            configuration.offer(item);
        } else if (key.startsWith(decoder.evacuatedZonePrefix())) {
            String zone = key.substring(decoder.evacuatedZonePrefix().length());
            availability.evacuate(zone);
            lapsedEvacuations.remove(zone);
            LogEvent.of("zone-out")
                    .with("zone", zone)
                    .with("revision", item.position().revision())
                    .info(log);
            indexed = false;
        } else if (key.startsWith(decoder.upstreamPrefix())) {
            register(key.substring(decoder.upstreamPrefix().length()), item);
        }
    }

    @Override
    public void removed(String key) {
        if (key.startsWith(decoder.evacuatedZonePrefix())) {
            String zone = key.substring(decoder.evacuatedZonePrefix().length());
            evacuationRemoved(zone);
        } else if (key.startsWith(decoder.upstreamPrefix())) {
            unregister(key.substring(decoder.upstreamPrefix().length()));
        }
    }

    @Override
    public void current(WatchedPrefix copy) {
        if (copy.prefix().equals(decoder.upstreamPrefix()) && !upstreamsRead) {
            upstreamsRead = true;
        }
    }

    private void register(String id, SharedStore.Item item) {
        try {
            UpstreamEntry entry = values.upstream(id, item.value());
            Upstream known = upstreams.get(id);
            compareStarts(known, entry, item.position().era());
            double coldUntil = ticker.millis() + entry.coldMillis();
            upstreams.put(id, new Upstream(entry, coldUntil));
            eras.put(id, item.position().era());
            lapsed.remove(id);
            if (known == null
                    || known.entry().leaving() != entry.leaving()
                    || !known.entry().address().equals(entry.address())) {
                LogEvent.of("upstream-registered")
                        .with("upstream", id)
                        .with("service", entry.service())
                        .with("address", entry.address())
                        .with("zone", entry.zone())
                        .with("leaving", entry.leaving())
                        .with("cold_ms", entry.coldMillis())
                        .with("revision", item.position().revision())
                        .info(log);
            }
        } catch (EndiveholdException e) {
            forget(id);
            LogEvent.of("upstream-unreadable")
                    .with("upstream", id)
                    .with("revision", item.position().revision())
                    .with("reason", e.getMessage())
                    .warn(log);
        }
        indexed = false;
    }

    /** Compares a new entry of an upstream with the known one, which may be of an earlier start or of a newer state. */
    private void compareStarts(Upstream known, UpstreamEntry entry, long era) {
        if (known == null) {
            return;
        }
        if (known.entry().startedAtMillis() != entry.startedAtMillis()) {
            availability.restarted(entry.id());
        } else if (known.entry().leaving() && !entry.leaving() && era > eras.getOrDefault(entry.id(), era)) {
            availability.markLeaving(entry.id(), entry.startedAtMillis());
        }
    }

    /**
     * Records that an upstream said that it is leaving. Its entry may not show that yet.
     *
     * @param id id of the upstream
     * @param startedAtMillis start of the upstream that said so
     * @return whether that was not known
     */
    public boolean markLeaving(String id, long startedAtMillis) {
        boolean news = availability.markLeaving(id, startedAtMillis);
        if (news) {
            LogEvent.of("upstream-leaving")
                    .with("upstream", id)
                    .with("started_at", startedAtMillis)
                    .info(log);
            indexed = false;
        }
        return news;
    }

    private void evacuationRemoved(String zone) {
        boolean kept = ages.sinceRestoreMillis() < LAPSE_GRACE_MILLIS;
        LogEvent.of("zone-in").with("zone", zone).with("kept_out", kept).info(log);
        if (kept) {
            lapsedEvacuations.add(zone);
        } else {
            availability.takeBack(zone);
        }
        indexed = false;
    }

    private void unregister(String id) {
        if (!upstreams.containsKey(id)) {
            return;
        }
        double sinceOutage = ages.sinceOutageMillis();
        boolean kept =
                sinceOutage < LAPSE_GRACE_MILLIS && !upstreams.get(id).entry().leaving();
        LogEvent.of("upstream-vanished")
                .with("upstream", id)
                .with("since_outage_ms", Math.round(Math.min(sinceOutage, Integer.MAX_VALUE)))
                .with("kept", kept)
                .info(log);
        if (kept) {
            lapsed.add(id);
        } else {
            forget(id);
        }
        indexed = false;
    }

    private void forget(String id) {
        upstreams.remove(id);
        eras.remove(id);
    }

    /** Removes vanished entries after the grace period, which begins at the end of the outage or at the restore. */
    private void dropLapsed() {
        if (!lapsedEvacuations.isEmpty() && ages.sinceRestoreMillis() >= LAPSE_GRACE_MILLIS) {
            LogEvent.of("evacuations-lapsed").with("zones", lapsedEvacuations).info(log);
            lapsedEvacuations.forEach(availability::takeBack);
            lapsedEvacuations.clear();
            indexed = false;
        }
        if (!lapsed.isEmpty() && ages.sinceOutageMillis() >= LAPSE_GRACE_MILLIS) {
            LogEvent.of("upstreams-lapsed").with("upstreams", lapsed).info(log);
            lapsed.forEach(this::forget);
            lapsed.clear();
            indexed = false;
        }
    }

    private void refreshIndex() {
        dropLapsed();
        if (!indexed) {
            index();
        }
    }

    private void index() {
        byService.clear();
        for (Upstream upstream : upstreams.values()) {
            UpstreamEntry entry = upstream.entry();
            if (availability.isInService(entry)) {
                byService
                        .computeIfAbsent(entry.service(), name -> new ArrayList<>())
                        .add(upstream);
            }
        }
        indexed = true;
    }
}
