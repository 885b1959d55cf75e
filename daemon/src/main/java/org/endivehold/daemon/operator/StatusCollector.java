package org.endivehold.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.endivehold.capacity.Capacity;
import org.endivehold.capacity.Share;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.ReadinessCheck;
import org.endivehold.daemon.kernel.StatusContributor;

/** Builds the JSON document with the status of all services of this daemon. */
final class StatusCollector {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().addModule(new Jdk8Module()).build();

    private final DaemonContext context;
    private final Kernel kernel;

    StatusCollector(DaemonContext context, Kernel kernel) {
        this.context = context;
        this.kernel = kernel;
    }

    /** Builds the document; if it is to be brief, with the status of the configuration only. */
    JsonObject collect(boolean brief) {
        JsonObject parts = new JsonObject();
        for (StatusContributor contributor : kernel.findAll(StatusContributor.class)) {
            if (!brief || contributor.statusName().equals(ActiveConfiguration.NAME)) {
                parts.put(contributor.statusName(), encodeStatus(contributor));
            }
        }
        if (!brief) {
            parts.put("capacity", shares());
        }
        return new JsonObject()
                .put("host", context.settings().host().value())
                .put("zone", context.settings().zone().value())
                .put("incarnation", context.incarnation().value())
                .put("notReady", notReady())
                .put("parts", parts);
    }

    private JsonArray notReady() {
        return new JsonArray(kernel.findAll(ReadinessCheck.class).stream()
                .flatMap(check -> check.notReady().stream())
                .toList());
    }

    /** Returns this daemon's used and free capacity at each upstream. */
    private JsonArray shares() {
        JsonArray array = new JsonArray();
        for (Capacity capacity : kernel.findAll(Capacity.class)) {
            for (Share share : capacity.shares(context.ticker().millis())) {
                array.add(new JsonObject()
                        .put("upstream", share.upstream().value())
                        .put("usedSlots", share.usedSlots())
                        .put("freeSlots", share.freeSlots())
                        .put("freeMemoryTokens", share.freeMemoryTokens()));
            }
        }
        return array;
    }

    private Object encodeStatus(StatusContributor contributor) {
        try {
            return Json.decodeValue(MAPPER.writeValueAsString(contributor.status()));
        } catch (JsonProcessingException | RuntimeException e) {
            context.errors().report(OperatorServer.NAME, e);
            return new JsonObject().put("unreadable", true);
        }
    }
}
