package org.endivehold.relay.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class RoutingTableTest {
    private static RelayRoute route(String name, String host, String prefix, ServiceShare... shares) {
        return new RelayRoute(name, host, prefix, RequestKind.SAFE, 1_000, 100, 0, 1, List.of(shares), 2, false, false);
    }

    private static final RoutingTable TABLE = RoutingTable.builder(3)
            .route(route("short", "a.example", "/x/", new ServiceShare("s", 1)))
            .route(route("longer", "a.example", "/x/y/", new ServiceShare("s", 1)))
            .route(route("other", "b.example", "/", new ServiceShare("s", 1)))
            .key("key", new Customer("customer", OptionalInt.empty()))
            .requireApiKeys()
            .build();

    @Test
    void theLongestPrefixOfTheHostWins() {
        String[][] cases = {
            {"a.example", "/x/1", "short"},
            {"a.example", "/x/y/1", "longer"},
            {"A.Example:80", "/x/y/", "longer"},
            {"b.example", "/x/y/", "other"},
            {"a.example", "/x", ""},
            {"a.example", "/z/", ""},
            {"c.example", "/x/", ""},
        };
        for (String[] each : cases) {
            String found = TABLE.route(each[0], each[1]).map(RelayRoute::name).orElse("");
            assertEquals(each[2], found, String.join(" ", each));
        }
    }

    @Test
    void onlyKnownKeysHaveACustomer() {
        assertTrue(TABLE.apiKeysRequired());
        assertEquals("customer", TABLE.customer("key").orElseThrow().name());
        assertEquals(Optional.empty(), TABLE.customer("other"));
        assertFalse(TABLE.customer(null).isPresent());
    }

    @Test
    void trafficIsDividedByTheWeights() {
        RelayRoute route = route("r", "h", "/", new ServiceShare("a", 90), new ServiceShare("b", 10));
        assertEquals("a", route.selectService(0));
        assertEquals("a", route.selectService(0.89));
        assertEquals("b", route.selectService(0.91));
        assertEquals("b", route.selectService(0.999_999));
    }
}
