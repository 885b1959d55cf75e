package org.endivehold.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.endivehold.stream.StreamAssembler.Verdict;
import org.endivehold.upstream.StreamPiece;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamAssemblerTest {
    /** Three tokens are assembled and attempt 2 is the latest when the piece arrives. */
    @ParameterizedTest(name = "{0} {1}+{2} -> {3}")
    @CsvSource({
        "2, 3, 1, APPENDED, 4",
        "2, 3, 5, APPENDED, 8",
        "2, 1, 2, DROPPED, 3",
        "2, 0, 3, DROPPED, 3",
        "2, 2, 2, BROKEN, 3",
        "2, 4, 1, BROKEN, 3",
        "1, 3, 1, DROPPED, 3",
        "3, 3, 1, DROPPED, 3",
    })
    void handlesPieces(int attempt, long offset, int tokens, Verdict verdict, long tokensAfter) {
        StreamAssembler assembler = new StreamAssembler();
        assembler.nextAttempt();
        assembler.accept(1, new StreamPiece(0, 2, "ab"));
        assembler.nextAttempt();
        assembler.accept(2, new StreamPiece(2, 1, "c"));
        assertEquals(verdict, assembler.accept(attempt, new StreamPiece(offset, tokens, "x".repeat(tokens))));
        assertEquals(tokensAfter, assembler.tokens());
        assertEquals(tokensAfter, assembler.text().length());
    }
}
