package org.endivehold.bench.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.endivehold.bench.slope.Slope.Point;
import org.junit.jupiter.api.Test;

class SlopeTest {
    private static final double TOLERANCE = 1e-9;

    @Test
    void fitsALineExactly() {
        Slope slope = Slope.fit("x", "s", "u", List.of(new Point(1, 5), new Point(2, 7), new Point(4, 11)));
        assertEquals(2, slope.perUnit(), TOLERANCE);
        assertEquals(3, slope.intercept(), TOLERANCE);
        assertEquals(0, slope.perUnitError(), TOLERANCE);
    }

    @Test
    void statesTheErrorOfAFit() {
        Slope slope = Slope.fit("x", "s", "u", List.of(new Point(0, 0), new Point(1, 2), new Point(2, 2)));
        assertEquals(1, slope.perUnit(), TOLERANCE);
        assertEquals(Math.sqrt(1.0 / 3), slope.perUnitError(), TOLERANCE);
    }
}
