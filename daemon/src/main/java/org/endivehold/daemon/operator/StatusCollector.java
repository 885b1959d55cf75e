package org.endivehold.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.ReadinessCheck;
import org.endivehold.daemon.kernel.StatusContributor;

/** Collects the status of all services of this daemon into one JSON document. */
final class StatusCollector {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().addModule(new Jdk8Module()).build();

    private final DaemonContext context;
    private final Kernel kernel;

    StatusCollector(DaemonContext context, Kernel kernel) {
        this.context = context;
        this.kernel = kernel;
    }

    JsonObject collect() {
        JsonObject parts = new JsonObject();
        for (StatusContributor part : kernel.all(StatusContributor.class)) {
            parts.put(part.statusName(), part(part));
        }
        JsonObject document = new JsonObject()
                .put("host", context.settings().host().value())
                .put("zone", context.settings().zone().value())
                .put("incarnation", context.incarnation().value());
        document.put(
                "notReady",
                new JsonArray(kernel.all(ReadinessCheck.class).stream()
                        .flatMap(check -> check.notReady().stream())
                        .toList()));
        return document.put("parts", parts);
    }

    private Object part(StatusContributor part) {
        try {
            return Json.decodeValue(MAPPER.writeValueAsString(part.status()));
        } catch (JsonProcessingException | RuntimeException e) {
            context.errors().report(OperatorPort.NAME, e);
            return new JsonObject().put("unreadable", true);
        }
    }
}
