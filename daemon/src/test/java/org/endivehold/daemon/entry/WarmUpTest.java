package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import org.junit.jupiter.api.Test;

/**
 * The short run that records a daemon's classes for its archive. If a request in it were refused, the classes that
 * serve it would be missing from the archive, and the first requests after each start would be slow.
 */
class WarmUpTest {
    @Test
    void daemonsStartOnLoopbackAndServeARequestOfEachKind() {
        assertDoesNotThrow(WarmUp::run);
    }
}
