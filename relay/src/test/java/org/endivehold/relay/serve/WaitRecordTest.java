package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class WaitRecordTest {
    /** Without the reason an operator cannot tell a request that never fits from one that found the engines full. */
    @Test
    void aRefusalIsCountedByItsReason() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            assertEquals(
                    503,
                    relay.send("POST", "/stream/x", "p", "attempt: a\r\nprompt: 900000")
                            .status());
            assertEquals(
                    1,
                    relay.registry
                            .get("endivehold.refusals")
                            .tag("reason", "too-large")
                            .counter()
                            .count());
            assertEquals(
                    1,
                    relay.registry
                            .get("endivehold.waiting")
                            .tag("route", "/stream/")
                            .timer()
                            .count());
        }
    }
}
