package org.endivehold.bench.start;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** A large configuration. The loopback platform sends its request to the first route, with the first API key. */
final class StartConfiguration {
    private static final int CUSTOMERS = 24;
    private static final int ROUTES_PER_HOST = 3;

    private StartConfiguration() {}

    /** Returns the document of a configuration with a number of routes; 249 routes take about 50 KB. */
    static String document(int routes) {
        JsonArray list = new JsonArray().add(route("plain", "warm-up", "/plain/", "safe"));
        for (int i = 1; i < routes; i++) {
            String host = "service-desk-" + i / ROUTES_PER_HOST + ".example";
            list.add(route("route-" + i, host, "/section-" + i + "/", "unsafe").put("priority", 1));
        }
        return new JsonObject()
                .put("version", 1)
                .put("tenants", customers())
                .put("routes", list)
                .put("services", new JsonArray().add(service("plain")).add(engines()))
                .encode();
    }

    private static JsonObject route(String name, String host, String prefix, String kind) {
        return new JsonObject()
                .put("name", name)
                .put("host", host)
                .put("path_prefix", prefix)
                .put("kind", kind)
                .put("service", "plain")
                .put("timeout_ms", 4_000)
                .put("target_latency_ms", 250)
                .put("max_attempts", 3)
                .put("public", false);
    }

    private static JsonArray customers() {
        JsonArray customers = new JsonArray().add(customer("caller", "key"));
        for (int i = 1; i < CUSTOMERS; i++) {
            customers.add(customer("customer-" + i, "key-" + i));
        }
        return customers;
    }

    private static JsonObject customer(String name, String key) {
        return new JsonObject().put("name", name).put("api_keys", new JsonArray().add(key));
    }

    private static JsonObject service(String name) {
        return new JsonObject()
                .put("name", name)
                .put("health_check_path", "/health")
                .put("max_connections", 40)
                .put("cold_per_s", 0);
    }

    private static JsonObject engines() {
        return service("engines")
                .put(
                        "engine",
                        new JsonObject()
                                .put("slots", 8)
                                .put("kv_capacity_tokens", 315_000)
                                .put("step_ms", 1.5)
                                .put("read_per_s", 150_000));
    }
}
