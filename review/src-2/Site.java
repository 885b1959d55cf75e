/** The operator's configuration and the entries of servers, with figures like those of a small deployment. */
final class Site {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String STREAM = "/lohu930/";
    /** Streams that may not be resumed, so that they count as requests that may run once at most. */
    static final String ONCE = "/vose762/";

    static final String UNSAFE = "/puxa403/";
    static final String SAFE = "/cufi504/";

    private Site() {}

    static String configuration(int version) {
        return "{\"version\":" + version
                + ",\"routes\":[" + route("r-stream", STREAM, "streaming", 10_000, "huvo11a", 2, true) + ","
                + route("r-once", ONCE, "streaming", 10_000, "huvo11a", 2, false) + ","
                + route("r-unsafe", UNSAFE, "unsafe", 2_500, "wuno96b", 2, false) + ","
                + route("r-safe", SAFE, "safe", 2_500, "wuno96b", 2, false)
                + "],\"services\":[{\"name\":\"huvo11a\",\"health_check_path\":\"/health\",\"max_connections\":434,"
                + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":36.0,\"engine\":{\"slots\":11,"
                + "\"kv_capacity_tokens\":405000,\"kv_token_bytes\":163840,\"link_mbps\":400000.0,\"stride\":34,"
                + "\"models\":[{\"name\":\"m\"}],\"step_ms\":1.31,\"per_seq_ms\":0.0013,\"context_per_k\":0.00213,"
                + "\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,"
                + "\"usual\":{\"prompt\":11301,\"answer\":1266},\"hop_ms\":0.1}},"
                + "{\"name\":\"wuno96b\",\"health_check_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\","
                + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    private static String route(
            String name, String prefix, String kind, int timeoutMillis, String service, int attempts, boolean resume) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":300,\"priority\":1,\"service\":\""
                + service + "\",\"max_attempts\":" + attempts + ",\"public\":false,\"sticky_sessions\":" + kind.equals("streaming")
                + ",\"stream_resume\":" + resume + ",\"gap_target_ms\":" + (kind.equals("streaming") ? 250 : 0) + "}";
    }

    static String entry(String service, String address, String state, int sequence, long bornMillis) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"bogota-a\",\"version\":\"v1\","
                + "\"slots\":" + (service.equals("huvo11a") ? 11 : 6) + ",\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
                + "\"adapters\":[]}],\"sequence\":" + sequence + ",\"born\":" + bornMillis + "}";
    }
}
