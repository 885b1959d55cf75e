package org.endivehold.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.util.List;
import org.endivehold.error.ErrorType;
import org.endivehold.standin.raw.RawStandin;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers of a daemon in trouble that the tool would show to the operator as those of the cluster. */
class DaemonClientTest {
    private static final String REST = "\r\nContent-Length: 14\r\n\r\n{\"revision\":1}";
    private static final String GOOD = "HTTP/1.1 200 OK" + REST;

    private static String url(RawStandin daemon) {
        return "http://127.0.0.1:" + daemon.port();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 ", "HTTP/1.1 600 Odd", "HTTP/1.1 200 OK\\r\\nx bad: 1", "HTTP/1.1 200 OK\\n"})
    void theNextDaemonIsAskedAfterAnInvalidAnswer(String start) throws Exception {
        String answer = start.translateEscapes() + REST;
        try (RawStandin broken = new RawStandin(answer, RawStandin.End.CLOSE);
                RawStandin sound = new RawStandin(GOOD, RawStandin.End.CLOSE);
                DaemonClient client = new DaemonClient(List.of(url(broken), url(sound)), "token")) {
            assertEquals(1, client.get("/status").getInteger("revision"));
            assertEquals(1, sound.requests());
        }
    }

    @Test
    void theFailureSaysWhatWasInvalid() throws Exception {
        try (RawStandin broken = new RawStandin("HTTP/1.1 200 OK\r\nx bad: 1" + REST, RawStandin.End.CLOSE);
                DaemonClient client = new DaemonClient(List.of(url(broken)), "token")) {
            ToolFailure failure = assertThrows(ToolFailure.class, () -> client.post("/publish", new JsonObject()));
            assertEquals(ErrorType.DAEMON_UNREACHABLE, failure.type());
            assertTrue(failure.getMessage().contains("invalid field-name: x bad"), failure.getMessage());
        }
    }
}
