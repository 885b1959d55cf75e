import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends requests as the platform's clients do. */
final class Client {
    private Client() {}

    /** How a request ended: its status, 0 if there was no whole answer, and what was seen. */
    record Outcome(int status, boolean whole, String seen) {}

    static Outcome send(
            String host, int port, String method, String path, String attempt, String moreHeaders, byte[] body, long deadlineMillis) {
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\n" + Wire.ATTEMPT + ": " + attempt
                + "\r\n" + Wire.DEADLINE + ": " + deadlineMillis + "\r\nX-Api-Key: " + Site.KEY + "\r\n"
                + moreHeaders + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) deadlineMillis + 2_000);
            byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
            System.arraycopy(body, 0, all, start.length, body.length);
            socket.getOutputStream().write(all);
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), true);
            if (answer == null) {
                return new Outcome(0, false, "the connection was closed without an answer");
            }
            return new Outcome(answer.status(), true, answer.line() + ", " + answer.body().length + " bytes");
        } catch (IOException e) {
            return new Outcome(0, false, String.valueOf(e.getMessage()));
        }
    }

    /** Sends a request for a stream. */
    static Outcome stream(String host, int port, String path, String attempt, long deadlineMillis) {
        String headers = Wire.MODEL + ": m\r\n" + Wire.TOKENS + ": 1460,80\r\n"
                + Wire.PREFIX + ": 5c1e07a2:40,e4402b7d:1420\r\n";
        return send(host, port, "POST", path, attempt, headers, "prompt".getBytes(), deadlineMillis);
    }
}
