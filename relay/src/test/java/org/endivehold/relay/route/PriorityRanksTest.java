package org.endivehold.relay.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against urgency that nobody configured, and against ranks that depend on the size of a priority. */
class PriorityRanksTest {
    private static final Customer FIRST = new Customer("first", OptionalInt.of(0));
    private static final Customer SECOND = new Customer("second", OptionalInt.of(1));
    private static final Customer UNRANKED = new Customer("unranked", OptionalInt.empty());

    private static RelayRoute route(int priority, String service) {
        return new RelayRoute(
                "r" + priority,
                "h",
                "/" + service + priority + "/",
                RequestKind.STREAM,
                10_000,
                300,
                250,
                priority,
                List.of(new ServiceShare(service, 1)),
                2,
                false,
                true);
    }

    private static RoutingTable table(int... priorities) {
        RoutingTable.Builder builder = RoutingTable.builder(1)
                .requireApiKeys()
                .key("a", FIRST)
                .key("b", SECOND)
                .key("c", UNRANKED)
                .route(route(7, "other"));
        for (int priority : priorities) {
            builder.route(route(priority, "engines"));
        }
        return builder.build();
    }

    private static TrafficClass traffic(RoutingTable table, int priority, Customer customer) {
        return table.trafficClass("engines", route(priority, "engines"), Optional.of(customer));
    }

    @Test
    void requestsAreNotToldApartWhereAllRoutesHaveOnePriority() {
        assertEquals(TrafficClass.DEFAULT, traffic(table(1, 1), 1, FIRST));
        assertEquals(TrafficClass.DEFAULT, traffic(table(), 1, FIRST));
    }

    @ParameterizedTest
    @CsvSource({"0,2", "1,1", "2,0"})
    void aRankCountsTheLowerPriorities(int priority, int rank) {
        RoutingTable table = table(0, 1, 2);
        assertEquals(new TrafficClass("second", 0, rank), traffic(table, priority, SECOND));
        assertEquals(new TrafficClass("first", 1, rank), traffic(table, priority, FIRST));
        assertEquals(new TrafficClass("unranked", 0, rank), traffic(table, priority, UNRANKED));
    }

    @ParameterizedTest
    @CsvSource({"-5,2", "10,1", "2147483647,0"})
    void theSizeOfAPriorityDoesNotMatter(int priority, int rank) {
        RoutingTable table = table(-5, 10, Integer.MAX_VALUE);
        assertEquals(rank, traffic(table, priority, SECOND).routeRank());
    }

    @Test
    void ranksAreBounded() {
        RoutingTable table = table(0, 1, 2, 3, 4, 5, 6, 7, 8, 9);
        assertEquals(TrafficClass.MAX_RANK, traffic(table, 0, SECOND).routeRank());
        assertEquals(8, traffic(table, 0, SECOND).costFactor());
    }

    @Test
    void theRankOfTheCustomerGoesBeforeThatOfTheRoute() {
        RoutingTable table = table(0, 1, 2);
        TrafficClass first = traffic(table, 2, FIRST);
        TrafficClass second = traffic(table, 0, SECOND);
        assertTrue(TrafficClass.MOST_URGENT_FIRST.compare(first, second) < 0);
    }
}
