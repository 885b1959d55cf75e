package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;

/** Limits of a connection must not change what a caller within them gets, and a refused head must reach no upstream. */
class GuardedConnectionTest {
    private static final String GOOD =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok";
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");
    private static final int MAX_HEADER_BYTES = 16_384;

    private static List<String> statuses(RelayFixture relay, String bytes) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), relay.port())) {
            caller.setSoTimeout(8_000);
            caller.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            RawResponse response = RawResponse.read(caller.getInputStream());
            return STATUS.matcher(response.bytes())
                    .results()
                    .map(match -> match.group(1))
                    .toList();
        }
    }

    private static String open(String method, String path, String fields) {
        return method + " " + path + " HTTP/1.1\r\nHost: h\r\nkey: secret\r\nattempt: a\r\nremaining: 5000\r\n" + fields
                + "\r\n";
    }

    /** Without a flush after the first response, the rest of the requests was never answered. */
    @Test
    void requestsThatArriveTogetherAreAnsweredInOrder() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            relay.replyFromAll(GOOD, End.FIN);
            String unknown = open("GET", "/unknown-route", "");
            String withBody = open("POST", "/safe/x", "Content-Length: 5\r\n") + "hello";
            String chunked = open("POST", "/safe/x", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n\r\n";
            String last = open("GET", "/unknown-route", "Connection: close\r\n");
            assertEquals(
                    List.of("404", "200", "404", "200", "404", "404"),
                    statuses(relay, unknown + withBody + unknown + chunked + unknown + last));
        }
    }

    @Test
    void aLegalHeadOfVeryManyFieldsIsServed() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            relay.replyFromAll(GOOD, End.FIN);
            String fields = "a:b\r\n".repeat(3_200) + "Connection: close\r\n";
            assertEquals(List.of("200"), statuses(relay, open("GET", "/safe/x", fields)));
        }
    }

    @Test
    void aHeadOverTheLimitIsRefusedAndReachesNoUpstream() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            relay.replyFromAll(GOOD, End.FIN);
            String fields = "a: " + "b".repeat(MAX_HEADER_BYTES) + "\r\n";
            assertEquals(List.of("431"), statuses(relay, open("GET", "/safe/x", fields)));
            assertEquals(List.of("431"), statuses(relay, open("GET", "/safe/" + "x".repeat(MAX_HEADER_BYTES), "")));
            assertEquals(0, relay.arrivals());
        }
    }
}
