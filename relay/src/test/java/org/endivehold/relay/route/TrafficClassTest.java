package org.endivehold.relay.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

class TrafficClassTest {
    /** Guards against methods written by hand that leave out a component. */
    @Test
    void equalityUsesAllComponents() {
        TrafficClass one = new TrafficClass("a", 1, 2);
        assertEquals(new TrafficClass("a", 1, 2), one);
        assertEquals(new TrafficClass("a", 1, 2).hashCode(), one.hashCode());
        assertNotEquals(new TrafficClass("b", 1, 2), one);
        assertNotEquals(new TrafficClass("a", 2, 2), one);
        assertNotEquals(new TrafficClass("a", 1, 1), one);
    }
}
