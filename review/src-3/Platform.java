import java.net.InetSocketAddress;
import java.util.List;

/** Values of the store as the pages show them: a configuration with a stream, a safe and an unsafe route, and servers. */
final class Platform {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String TENANT = "hule930";

    private Platform() {}

    static String configuration(long version, String streamRoute) {
        return "{\"version\":" + version + ","
                + "\"tenants\":[{\"name\":\"" + TENANT + "\",\"api_keys\":[\"" + KEY + "\"]}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
                + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000},"
                + "\"routes\":["
                + "{\"name\":\"stream\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/stream/\",\"kind\":\"streaming\","
                + "\"service\":\"engines\",\"timeout_ms\":10000,\"target_latency_ms\":3000,\"gap_target_ms\":1000,"
                + "\"max_attempts\":2,\"priority\":1,\"sticky_sessions\":true" + streamRoute + "},"
                + "{\"name\":\"safe\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/safe/\",\"kind\":\"safe\","
                + "\"service\":\"plain\",\"timeout_ms\":1200,\"target_latency_ms\":150,\"max_attempts\":2,\"priority\":2},"
                + "{\"name\":\"unsafe\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/unsafe/\",\"kind\":\"unsafe\","
                + "\"service\":\"plain\",\"timeout_ms\":1200,\"target_latency_ms\":150,\"max_attempts\":1,\"priority\":2}],"
                + "\"services\":["
                + "{\"name\":\"plain\",\"health_check_path\":\"/health\",\"max_connections\":110,\"cold_per_s\":0},"
                + "{\"name\":\"engines\",\"health_check_path\":\"/health\",\"max_connections\":434,\"cold_per_s\":36,"
                + "\"engine\":{\"slots\":16,\"kv_capacity_tokens\":405000,\"stride\":34,\"step_ms\":1.31,"
                + "\"per_seq_ms\":0.000917,\"context_per_k\":0.00213,\"read_per_s\":154000,\"pairs_per_m\":0.162,"
                + "\"chunk\":2048,\"report_lag_ms\":200,\"usual\":{\"prompt\":4960,\"answer\":1300}}}]}";
    }

    static String server(String service, String zone, InetSocketAddress address, int slots, long born, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + text(address) + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" + born + "}";
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns a request; {@code fields} are further lines of its head, without their ends. */
    static String request(String method, String path, String attempt, int deadlineMillis, String body, String... fields) {
        String lines = String.join("\r\n", List.of(fields));
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n" + Names.ATTEMPT + ": " + attempt
                + "\r\n" + Names.DEADLINE + ": " + deadlineMillis + "\r\n" + Names.KEY + ": " + KEY + "\r\n"
                + (lines.isEmpty() ? "" : lines + "\r\n")
                + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }
}
