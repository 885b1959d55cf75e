package org.endivehold.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which heads of answers are valid. {@code \r}, {@code \n} and other escapes of Java strings stand for their bytes. */
class HeadReaderTest {
    private static byte[] bytes(String escaped) {
        return escaped.translateEscapes().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head that ends with the last byte. */
    private static HeadReader read(byte[] head) throws InvalidAnswerException {
        HeadReader reader = new HeadReader();
        for (int i = 0; i < head.length; i++) {
            assertEquals(i == head.length - 1, reader.add(head[i]), "complete after byte " + i);
        }
        return reader;
    }

    private static InvalidAnswerException failure(byte[] head) {
        return assertThrows(InvalidAnswerException.class, () -> {
            HeadReader reader = new HeadReader();
            for (byte next : head) {
                if (reader.add(next)) {
                    return;
                }
            }
        });
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\\r\\n\\r\\n",
                "HTTP/1.0 200 OK\\r\\n\\r\\n",
                "HTTP/1.1 200 \\r\\n\\r\\n",
                "HTTP/1.1 200 \\tAll\\351 right\\r\\n\\r\\n",
                "HTTP/1.1 599 Odd\\r\\n\\r\\n",
                "HTTP/1.1 299 Odd\\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\nX-Empty:\\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\nX-A:no-space\\r\\nX-B: \\ttabs\\tand blanks \\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\n!#$%&'*+-.^_`|~09azAZ: every token character\\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\nX-Latin: \\351\\377\\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\nX-Colons: a:b: c\\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\ncontent-LENGTH:  0042\\t\\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: Chunked\\r\\n\\r\\n",
                "HTTP/1.1 204 No Content\\r\\nContent-Length: 0\\r\\n\\r\\n",
                "HTTP/1.1 304 Not Modified\\r\\nContent-Length: 42\\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\nX-Same: 1\\r\\nX-Same: 2\\r\\n\\r\\n"
            })
    void aValidHeadIsReadToItsEndAndUnchanged(String head) throws Exception {
        HeadReader reader = read(bytes(head));
        assertFalse(reader.isInterim());
        assertArrayEquals(bytes(head), reader.toBytes());
    }

    @ParameterizedTest
    @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints", "199 Odd"})
    void aStatusBelow200IsInterim(String status) throws Exception {
        assertTrue(
                read(bytes("HTTP/1.1 " + status + "\\r\\nLink: x\\r\\n\\r\\n")).isInterim());
    }

    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 000 ', STATUS",
        "HTTP/1.1 099 Odd, STATUS",
        "HTTP/1.1 600 Odd, STATUS",
        "HTTP/1.1 999 Odd, STATUS",
        "HTTP/1.1 101 Switching Protocols, STATUS",
        "HTTP/1.1 20 OK, STATUS_LINE",
        "HTTP/1.1 2000 OK, STATUS_LINE",
        "HTTP/1.1 2e2 OK, STATUS_LINE",
        "HTTP/1.1 -20 OK, STATUS_LINE",
        "HTTP/1.1 200, STATUS_LINE",
        "HTTP/1.1  200 OK, STATUS_LINE",
        "HTTP/1.1\\t200 OK, STATUS_LINE",
        "HTTP/1.1 200\\tOK, STATUS_LINE",
        "HTTP/1.1 200 O\\1K, STATUS_LINE",
        "HTTP/1.1 200 O\\rK, STATUS_LINE",
        "HTTP/1.1 200 OK\\n, STATUS_LINE",
        "HTTP/1.x 200 OK, STATUS_LINE",
        "HTTP/2.0 200 OK, STATUS_LINE",
        "http/1.1 200 OK, STATUS_LINE",
        "'\\r\\nHTTP/1.1 200 OK', STATUS_LINE",
        "'\\0HTTP/1.1 200 OK', STATUS_LINE",
        "ICY 200 OK, STATUS_LINE"
    })
    void anInvalidStatusLineIsNoHead(String line, HeadPart part) {
        assertEquals(part, failure(bytes(line + "\\r\\n\\r\\n")).part());
    }

    @ParameterizedTest
    @CsvSource({
        "X A: 1, FIELD_NAME",
        "X-A : 1, FIELD_NAME",
        "X-A\\t: 1, FIELD_NAME",
        "' X-A: 1', FIELD_NAME",
        "'\\tX-A: 1', FIELD_NAME",
        "X\\0A: 1, FIELD_NAME",
        "X\\1A: 1, FIELD_NAME",
        "X\\33A: 1, FIELD_NAME",
        "X\\177A: 1, FIELD_NAME",
        "X\\351A: 1, FIELD_NAME",
        "X\\rA: 1, FIELD_NAME",
        "X\\nA: 1, FIELD_NAME",
        "\\nX-A: 1, FIELD_NAME",
        "X(A): 1, FIELD_NAME",
        "X-A, FIELD_NAME",
        ": 1, FIELD_NAME",
        "X-A: \\0, FIELD_VALUE",
        "X-A: \\1, FIELD_VALUE",
        "X-A: a\\rb, FIELD_VALUE",
        "X-A: a\\nX-B: 1, FIELD_VALUE",
        "X-A: a\\r\\r, FIELD_VALUE",
        "X-A: \\177, FIELD_VALUE",
        "Content-Length:, BODY_LENGTH",
        "Content-Length: +4, BODY_LENGTH",
        "Content-Length: -4, BODY_LENGTH",
        "Content-Length: 0x4, BODY_LENGTH",
        "Content-Length: 4 4, BODY_LENGTH",
        "'Content-Length: 4, 4', BODY_LENGTH",
        "Content-Length: 4\\r\\nContent-Length: 4, BODY_LENGTH",
        "Content-Length: 4\\r\\ncontent-length: 5, BODY_LENGTH",
        "Content-Length: 99999999999999999999, BODY_LENGTH",
        "Transfer-Encoding: gzip, BODY_LENGTH",
        "'Transfer-Encoding: gzip, chunked', BODY_LENGTH",
        "Transfer-Encoding: identity, BODY_LENGTH",
        "Transfer-Encoding: chunked\\r\\nTransfer-Encoding: chunked, BODY_LENGTH",
        "Transfer-Encoding: chunked\\r\\nContent-Length: 4, BODY_LENGTH"
    })
    void anInvalidFieldIsNoHead(String field, HeadPart part) {
        assertEquals(
                part,
                failure(bytes("HTTP/1.1 200 OK\\r\\n" + field + "\\r\\n\\r\\n")).part());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.0 200 OK\\r\\nTransfer-Encoding: chunked",
                "HTTP/1.1 204 No Content\\r\\nContent-Length: 4",
                "HTTP/1.1 204 No Content\\r\\nTransfer-Encoding: chunked",
                "HTTP/1.1 100 Continue\\r\\nContent-Length: 4",
                "HTTP/1.1 103 Early Hints\\r\\nTransfer-Encoding: chunked"
            })
    void aBodyThatTheAnswerCannotHaveIsNoHead(String head) {
        assertEquals(HeadPart.BODY_LENGTH, failure(bytes(head + "\\r\\n\\r\\n")).part());
    }

    @Test
    void aHeadWithoutEndIsCutOff() {
        assertEquals(
                HeadPart.SIZE,
                failure(bytes("x".repeat(HeadReader.MAX_HEAD_BYTES + 1))).part());
        String field = "HTTP/1.1 200 OK\\r\\n" + "X-A: 1\\r\\n".repeat(HeadReader.MAX_HEAD_BYTES / 8);
        assertEquals(HeadPart.SIZE, failure(bytes(field)).part());
    }

    @Test
    void theExcerptIsEscapedAndCut() {
        InvalidAnswerException e =
                failure(bytes("HTTP/1.1 200 OK\\r\\nX 100%\\1\\351" + "y".repeat(500) + ": 1\\r\\n"));
        assertEquals("X 100%25%01%e9" + "y".repeat(52), e.excerpt());
        assertEquals(
                "event=invalid-answer request=r upstream=u part=field-name bytes=\"" + e.excerpt() + '"',
                e.event("r", "u").toString());
    }
}
