package org.endivehold.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Renders a fleet document as text: tables of zones, upstreams and daemons, and the daemons that lag behind. */
final class FleetView {
    private static final String ABSENT = "-";

    private final JsonObject fleet;
    private final List<String> lines = new ArrayList<>();

    private FleetView(JsonObject fleet) {
        this.fleet = fleet;
    }

    static List<String> render(JsonObject fleet) {
        FleetView view = new FleetView(fleet);
        view.header();
        view.zones();
        view.upstreams();
        view.daemons();
        return view.lines;
    }

    /** Returns the revision that a daemon entry of a fleet document reports as in force; 0 if none. */
    static long revision(JsonObject daemon) {
        return part(daemon, "config").getLong("revision", 0L);
    }

    private void header() {
        long newest = 0;
        for (JsonObject daemon : objects("daemons")) {
            newest = Math.max(newest, revision(daemon));
        }
        List<String> lagging = Publisher.lagging(fleet, newest);
        lines.add("revision " + newest
                + (lagging.isEmpty() ? ", in force at every live daemon" : ", lagging: " + String.join(", ", lagging)));
    }

    private void zones() {
        Map<String, int[]> counts = new TreeMap<>();
        for (JsonObject upstream : objects("upstreams")) {
            int[] count = counts.computeIfAbsent(upstream.getString("zone"), zone -> new int[2]);
            count["serving".equals(upstream.getString("state")) ? 0 : 1]++;
        }
        List<List<String>> rows = new ArrayList<>();
        for (JsonObject zone : objects("zones")) {
            int[] count = counts.getOrDefault(zone.getString("name"), new int[2]);
            rows.add(List.of(
                    zone.getString("name"),
                    zone.getString("state").toUpperCase(Locale.ROOT),
                    Integer.toString(count[0]),
                    Integer.toString(count[1])));
        }
        table(List.of("ZONE", "STATE", "SERVING", "LEAVING"), rows);
    }

    private void upstreams() {
        Map<String, Long> used = usedSlots();
        List<List<String>> rows = new ArrayList<>();
        for (JsonObject upstream : objects("upstreams")) {
            rows.add(List.of(
                    upstream.getString("name"),
                    upstream.getString("type"),
                    upstream.getString("zone"),
                    upstream.getString("state"),
                    upstream.getValue("slots").toString(),
                    Long.toString(used.getOrDefault(upstream.getString("name"), 0L))));
        }
        table(List.of("UPSTREAM", "TYPE", "ZONE", "STATE", "SLOTS", "IN USE"), rows);
    }

    /** Returns the slots in use of each upstream, summed over all daemons. */
    private Map<String, Long> usedSlots() {
        Map<String, Long> used = new TreeMap<>();
        for (JsonObject daemon : objects("daemons")) {
            JsonArray shares = array(parts(daemon), "capacity");
            for (int i = 0; i < shares.size(); i++) {
                JsonObject share = shares.getJsonObject(i);
                used.merge(share.getString("upstream"), share.getLong("usedSlots", 0L), Long::sum);
            }
        }
        return used;
    }

    private void daemons() {
        List<List<String>> rows = new ArrayList<>();
        for (JsonObject daemon : objects("daemons")) {
            JsonObject callers = part(daemon, "front");
            JsonObject status = daemon.getJsonObject("status", new JsonObject());
            rows.add(List.of(
                    daemon.getString("host"),
                    status.getString("zone", ABSENT),
                    daemon.getString("membership", ABSENT),
                    daemon.getBoolean("answered", false) ? Long.toString(revision(daemon)) : ABSENT,
                    ready(daemon, status),
                    text(callers, "connections"),
                    text(callers, "inProgress"),
                    text(part(daemon, "generation"), "queued"),
                    text(part(daemon, "config"), "source")));
        }
        table(List.of("DAEMON", "ZONE", "MEMBER", "REVISION", "READY", "CALLERS", "RUNNING", "QUEUED", "SOURCE"), rows);
    }

    private static String ready(JsonObject daemon, JsonObject status) {
        if (!daemon.getBoolean("answered", false)) {
            return "no answer: " + daemon.getString("error", ABSENT);
        }
        JsonArray reasons = array(status, "notReady");
        return reasons.isEmpty() ? "yes" : "no: " + reasons.getValue(0);
    }

    private void table(List<String> head, List<List<String>> rows) {
        if (rows.isEmpty()) {
            return;
        }
        int[] widths = new int[head.size()];
        List<List<String>> all = new ArrayList<>();
        all.add(head);
        all.addAll(rows);
        for (List<String> row : all) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        lines.add("");
        for (List<String> row : all) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
            }
            lines.add(line.toString().stripTrailing());
        }
    }

    private List<JsonObject> objects(String field) {
        List<JsonObject> objects = new ArrayList<>();
        JsonArray array = array(fleet, field);
        for (int i = 0; i < array.size(); i++) {
            objects.add(array.getJsonObject(i));
        }
        return objects;
    }

    private static JsonArray array(JsonObject object, String field) {
        return object.getValue(field) instanceof JsonArray array ? array : new JsonArray();
    }

    private static JsonObject part(JsonObject daemon, String name) {
        return parts(daemon).getJsonObject(name, new JsonObject());
    }

    private static JsonObject parts(JsonObject daemon) {
        return daemon.getJsonObject("status", new JsonObject()).getJsonObject("parts", new JsonObject());
    }

    private static String text(JsonObject object, String field) {
        Object value = object.getValue(field);
        return value == null ? ABSENT : value.toString();
    }
}
