package org.endivehold.relay.serve;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * The bytes that a caller's connection received.
 *
 * @param bytes all bytes until the connection ended, as text
 * @param reset whether reading ended with an error, such as a reset connection or a timeout
 */
record RawResponse(String bytes, boolean reset) {
    private static final int READ_TIMEOUT_MILLIS = 8_000;

    /** Sends one request with {@code Connection: close} and reads until the connection ends. */
    static RawResponse send(int port, String method, String path, String body, String... headers) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(request(method, path, body, headers).getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            return read(socket.getInputStream());
        }
    }

    static String request(String method, String path, String body, String... headers) {
        StringBuilder request = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: h\r\nkey: secret\r\n");
        for (String header : headers) {
            request.append(header).append("\r\n");
        }
        if (!body.isEmpty()) {
            request.append("Content-Length: ").append(body.length()).append("\r\n");
        }
        return request + "Connection: close\r\n\r\n" + body;
    }

    static RawResponse read(InputStream in) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        boolean reset = false;
        try {
            in.transferTo(bytes);
        } catch (IOException e) {
            reset = true;
        }
        return new RawResponse(bytes.toString(StandardCharsets.UTF_8), reset);
    }

    int status() {
        return bytes.startsWith("HTTP/1.1 ") ? Integer.parseInt(bytes.substring(9, 12)) : 0;
    }

    String head() {
        int end = bytes.indexOf("\r\n\r\n");
        return end < 0 ? "" : bytes.substring(0, end).toLowerCase(Locale.ROOT);
    }

    /** Returns the body, without the chunk lengths of a chunked response. */
    String body() {
        String raw = bytes.substring(bytes.indexOf("\r\n\r\n") + 4);
        if (!head().contains("transfer-encoding: chunked")) {
            return raw;
        }
        StringBuilder body = new StringBuilder();
        int at = 0;
        while (at < raw.length()) {
            int lineEnd = raw.indexOf("\r\n", at);
            int length = Integer.parseInt(raw.substring(at, lineEnd), 16);
            body.append(raw, lineEnd + 2, lineEnd + 2 + length);
            at = lineEnd + 4 + length;
        }
        return body.toString();
    }

    /** Returns whether the response looks complete to a caller; its end is checked only if it is chunked. */
    boolean complete() {
        if (head().contains("transfer-encoding: chunked")) {
            return bytes.endsWith("0\r\n\r\n");
        }
        return !head().isEmpty();
    }
}
