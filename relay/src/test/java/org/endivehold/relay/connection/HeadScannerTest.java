package org.endivehold.relay.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** A head whose end is not found would hold up a connection; one that ends too early would break its request. */
class HeadScannerTest {
    private final HeadScanner scanner = new HeadScanner();

    /** Returns the number of bytes of the head; -1 if it is not complete. */
    private int headBytes(String text) {
        scanner.reset();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length; i++) {
            if (scanner.add(bytes[i])) {
                return i + 1;
            }
        }
        return -1;
    }

    @Test
    void aHeadEndsAfterItsEmptyLine() {
        assertEquals(18, headBytes("GET / HTTP/1.1\r\n\r\nGET /"));
        assertEquals(23, headBytes("GET / HTTP/1.1\r\na:b\r\n\r\nbody\r\n\r\n"));
        assertEquals(20, headBytes("GET / HTTP/1.1\na:b\n\nbody"));
    }

    @Test
    void anIncompleteHeadDoesNotEnd() {
        assertEquals(-1, headBytes("GET / HTTP/1.1\r\na:b\r\n\r"));
        assertEquals(-1, headBytes("GET / HTTP/1.1\r\n"));
        assertEquals(-1, headBytes("\r\n\r\n\r\n"));
    }

    @Test
    void emptyLinesBeforeTheRequestAreNoEnd() {
        assertEquals(22, headBytes("\r\n\r\nGET / HTTP/1.1\r\n\r\n"));
    }

    @Test
    void theRequestLineDoesNotCountAsFields() {
        headBytes("GET / HTTP/1.1\r\na:b\r\nc:d\r\n\r\n");
        assertEquals(16, scanner.lineBytes());
        assertEquals(12, scanner.fieldBytes());
        assertEquals(4, scanner.lines());
    }
}
