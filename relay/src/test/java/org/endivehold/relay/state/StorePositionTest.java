package org.endivehold.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StorePositionTest {
    /** Guards against methods written by hand that leave out one of the two numbers. */
    @Test
    void equalityAndOrderUseEraAndRevision() {
        StorePosition position = new StorePosition(1, 130);
        assertEquals(new StorePosition(1, 130), position);
        assertEquals(new StorePosition(1, 130).hashCode(), position.hashCode());
        assertEquals(0, position.compareTo(new StorePosition(1, 130)));
        assertNotEquals(new StorePosition(2, 130), position);
        assertNotEquals(new StorePosition(1, 131), position);
        assertTrue(new StorePosition(1, 131).isAfter(position));
        assertTrue(new StorePosition(2, 90).isAfter(position));
    }
}
