package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A signal in the first moments of a start ended the process, as its handler was installed last. */
class HangupSignalTest {
    private int reloads;

    @Test
    void aSignalBeforeTheDaemonCanReloadIsKept() {
        HangupSignal signal = new HangupSignal();
        signal.received();
        signal.received();
        assertEquals(0, reloads);
        signal.onSignal(() -> reloads++);
        assertEquals(1, reloads);
        signal.received();
        assertEquals(2, reloads);
    }

    @Test
    void withoutASignalNothingIsReloaded() {
        new HangupSignal().onSignal(() -> reloads++);
        assertEquals(0, reloads);
    }
}
