package org.endivehold.bench.slope;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.endivehold.bench.slope.Slope.Point;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.grant.Grant;
import org.endivehold.grant.GrantGroups;
import org.endivehold.grant.GrantHolder;
import org.endivehold.grant.GrantTimings;
import org.endivehold.grant.Grantor;
import org.endivehold.grant.GroupStatement;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.misc.ZoneName;
import org.endivehold.upstream.StreamOwner;
import org.endivehold.wire.MessageCodec;
import org.endivehold.wire.RenewAnswer;
import org.endivehold.wire.RenewRequest;

/** Measures what renewing grants costs: bytes per upstream, and the grantor's time per upstream and per holder. */
final class GrantSlopes {
    private static final int[] UPSTREAMS = {19, 200, 1_000};
    private static final int[] HOLDERS = {8, 50, 200};
    private static final int GROUP_UPSTREAMS = 31;
    private static final Epoch EPOCH = new Epoch(1);
    private static final long MILLIS_PER_STEP = 10;
    private static final GrantTimings TIMINGS = new GrantTimings(4_000, 1_000, 1_000, 2_000);

    /** One grantor with its holders, all in one group, driven without sockets. */
    private static final class Bed {
        private final Grantor grantor;
        private final List<GrantHolder> holders = new ArrayList<>();
        private long now;
        private int next;

        Bed(int upstreams, int count) {
            List<Upstream> all = upstreams(upstreams);
            Set<UpstreamName> names = new TreeSet<>();
            all.forEach(upstream -> names.add(upstream.name()));
            grantor = new Grantor(0, EPOCH, true, TIMINGS, 0);
            grantor.configure(all, names);
            for (int i = 0; i < count; i++) {
                StreamOwner self = new StreamOwner(new HostId("host-" + i), new Incarnation(1));
                GrantHolder holder = new GrantHolder(self, new GrantGroups(1), Long.MAX_VALUE);
                holder.want(names);
                holder.fence(0, EPOCH);
                holders.add(holder);
            }
            for (int i = 0; i < 2 * count; i++) {
                renewNext();
            }
        }

        /** Renews all grants of one holder. */
        List<Grant> renewNext() {
            now += MILLIS_PER_STEP;
            grantor.lease(now + TIMINGS.grantMillis());
            GrantHolder holder = holders.get(next++ % holders.size());
            GroupStatement statement = holder.state(0, now);
            grantor.state(statement, now);
            List<Grant> grants = grantor.renew(statement, now);
            grants.forEach(grant -> holder.accept(grant, now));
            return grants;
        }
    }

    /**
     * Measures.
     *
     * @return the slopes
     * @throws EndiveholdException if a message cannot be coded
     */
    List<Slope> measure() throws EndiveholdException {
        return List.of(bytes(), coding(), renewal("upstreams"), holders());
    }

    private static Slope bytes() throws EndiveholdException {
        List<Point> points = new ArrayList<>();
        for (int count : UPSTREAMS) {
            points.add(new Point(count, encoded(new Bed(count, 8))));
        }
        return Slope.fit("grant renewal, request and answer", "upstreams", "bytes", points);
    }

    private static double encoded(Bed bed) throws EndiveholdException {
        MessageCodec codec = new MessageCodec();
        GroupStatement statement = bed.holders.get(0).state(0, bed.now);
        int request = codec.encode(1, new RenewRequest(List.of(statement))).length;
        int answer = codec.encode(1, new RenewAnswer(bed.renewNext(), List.of())).length;
        return request + answer;
    }

    private static Slope coding() throws EndiveholdException {
        List<Point> points = new ArrayList<>();
        MessageCodec codec = new MessageCodec();
        for (int count : UPSTREAMS) {
            Bed bed = new Bed(count, 8);
            RenewRequest request = new RenewRequest(List.of(bed.holders.get(0).state(0, bed.now)));
            points.add(new Point(count, Stopwatch.micros(() -> codec.encode(1, request))));
        }
        return Slope.fit("coding of a grant renewal request", "upstreams", "microseconds", points);
    }

    private static Slope renewal(String size) throws EndiveholdException {
        List<Point> points = new ArrayList<>();
        for (int count : UPSTREAMS) {
            Bed bed = new Bed(count, 8);
            points.add(new Point(count, Stopwatch.micros(bed::renewNext)));
        }
        return Slope.fit("grant renewal, holder and grantor, 8 holders", size, "microseconds", points);
    }

    private static Slope holders() throws EndiveholdException {
        List<Point> points = new ArrayList<>();
        for (int count : HOLDERS) {
            Bed bed = new Bed(GROUP_UPSTREAMS, count);
            points.add(new Point(count, Stopwatch.micros(bed::renewNext)));
        }
        return Slope.fit("grant renewal, holder and grantor, 31 upstreams", "holders", "microseconds", points);
    }

    private static List<Upstream> upstreams(int count) {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            UpstreamName name = new UpstreamName("engine-" + i);
            upstreams.add(Upstream.builder(name, Upstream.Kind.ENGINE)
                    .zone(new ZoneName("zone-a"))
                    .address("127.0.0.1")
                    .port(1)
                    .versions(Set.of(new VersionName("v1")))
                    .slots(1_000)
                    .coldSlots(400)
                    .memoryTokens(4_000_000)
                    .prefillTokensPerSecond(40_000)
                    .build());
        }
        return upstreams;
    }
}
