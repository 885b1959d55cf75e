package org.endivehold.relay.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.vertx.core.buffer.Buffer;
import java.util.concurrent.FutureTask;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A document nested more deeply than the stack of a thread bears must be reported as malformed. If the decoder
 * overflows the stack, nobody who expects a malformed document handles that.
 */
class BoundedJsonTest {
    /** Stack of the threads of an entry host, in bytes. */
    private static final long STACK_BYTES = 256 << 10;

    @ParameterizedTest(name = "{1} times {0}")
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"a\":   | 64     | false",
                "{\"a\":   | 65     | false",
                "{\"a\":   | 500    | false",
                "{\"a\":   | 1000   | false",
                "{\"a\":   | 100000 | false",
                "[         | 600    | false",
                "[         | 100000 | false",
                "{\"a\":[  | 5000   | false",
            })
    void whatIsNestedTooDeeplyIsMalformed(String opening, int times, boolean readable) throws Exception {
        assertEquals(readable, isReadable(opening.repeat(times)));
    }

    @ParameterizedTest(name = "{0} levels")
    @CsvSource({"1, true", "10, true", "64, true", "65, false", "1000, false"})
    void objectsAreReadUpToTheDeepestNesting(int levels, boolean readable) throws Exception {
        assertEquals(readable, isReadable("{\"a\":".repeat(levels - 1) + "{}" + "}".repeat(levels - 1)));
    }

    @ParameterizedTest(name = "document {0}")
    @CsvSource(
            delimiter = '|',
            value = {"{}{}", "[]", "12", "null", "'\"text\"'", "{\"a\"}", "''", "{\"a\":1e}", "{\"a\":NaN}"})
    void whatIsNoObjectIsMalformed(String document) throws Exception {
        assertEquals(false, isReadable(document));
    }

    private static boolean isReadable(String document) throws Exception {
        FutureTask<Throwable> decoding = new FutureTask<>(() -> {
            try {
                BoundedJson.object(Buffer.buffer(document));
                return null;
            } catch (EndiveholdException | StackOverflowError e) {
                return e;
            }
        });
        new Thread(null, decoding, "small-stack", STACK_BYTES).start();
        Throwable failure = decoding.get();
        if (failure == null) {
            return true;
        }
        assertEquals(
                ErrorType.CONFIG_INVALID,
                assertInstanceOf(EndiveholdException.class, failure).type());
        return false;
    }
}
