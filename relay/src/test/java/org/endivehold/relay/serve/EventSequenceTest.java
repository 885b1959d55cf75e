package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What each event of an answer is to a caller: an id that is wrong must neither confirm a position nor hide an event.
 */
class EventSequenceTest {
    /**
     * Events are written as id and content, such as 6f; a dash is no id, and -1 no known event. The verdicts are those
     * of the last answer: P for pass, L for left out, G for gap, O for out of order.
     */
    @ParameterizedTest(name = "has {0}, got [{1}], then [{2}]: {3}")
    @CsvSource({
        "-1, '',            '1a 2b 3c',    PPP, true",
        "-1, '',            '-a 1b -c 2d', PPPP, true",
        "-1, '',            '1a 2b 2b',    PPO, true",
        "-1, '',            '1a 4d 2b',    PPO, true",
        "-1, '',            '10a 20b 30c', PPP, true",
        "5,  '',            '6f 7g',       PP, true",
        "5,  '',            '4d 5e 6f',    LLP, true",
        "5,  '',            '1a 2b',       LL, false",
        "5,  '',            '2f',          L, false",
        "5,  '',            '5f',          L, false",
        "5,  '',            '5e',          L, false",
        "5,  '',            '-f',          L, false",
        "5,  '',            '2f 7g',       LG, false",
        "5,  '',            '-f 7g',       LG, false",
        "5,  '',            '5f 7g',       LG, false",
        "5,  '',            '6f 2g',       PO, true",
        "5,  '',            '10j 20t',     PP, true",
        "-1, '1a 2b 3c',    '4d 5e',       PP, true",
        "-1, '1a 2b 3c',    '2b 3c 4d',    LLP, true",
        "-1, '1a 2b 3c',    '3c',          L, true",
        "-1, '1a 2b 3c',    '3d',          L, false",
        "-1, '1a 2b 3c',    '2b',          L, false",
        "-1, '1a 2b 3c',    '3c 2b',       LL, true",
        "-1, '1a 2b 3c',    '5e',          G, false",
        "-1, '1a 2b 3c',    '-d 4d',       LP, true",
        "5,  '6f',          '6f',          L, true",
        "5,  '6f',          '8h',          G, false",
    })
    void eachEventHasItsVerdict(long known, String before, String last, String verdicts, boolean confirmed) {
        EventSequence sequence = new EventSequence(known < 0 ? OptionalLong.empty() : OptionalLong.of(known));
        sequence.beginAttempt(false);
        if (!before.isEmpty()) {
            verdicts(sequence, before);
            sequence.beginAttempt(true);
        }
        assertEquals(verdicts, verdicts(sequence, last));
        assertEquals(confirmed, sequence.isPositionConfirmed());
    }

    private static String verdicts(EventSequence sequence, String events) {
        StringBuilder verdicts = new StringBuilder();
        for (String event : events.split(" ", -1)) {
            int end = event.length() - 1;
            String id = event.substring(0, end);
            OptionalLong number = id.equals("-") ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(id));
            Buffer content = Buffer.buffer("id: " + id + "\ndata: " + event.substring(end) + "\n\n");
            verdicts.append(sequence.next(number, content).name().charAt(0));
        }
        return verdicts.toString();
    }
}
