package org.endivehold.daemon.settings;

import io.vertx.core.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.endivehold.error.EndiveholdException;

/** Settings for tests: servers listen on any free port, and shutdown does not wait for load balancers. */
public final class TestSettings {
    /** The bearer token for operators. */
    public static final String OPERATOR_TOKEN = "operator-token";

    private TestSettings() {}

    /** Writes the operators' token file to a folder and returns settings as JSON, which the caller may change. */
    public static JsonObject json(Path folder, String host) throws Exception {
        Path token = Files.writeString(folder.resolve("token-" + host), OPERATOR_TOKEN);
        return new JsonObject()
                .put("host", host)
                .put("zone", "z1")
                .put("seed", 1)
                .put("callers", new JsonObject().put("port", 0))
                .put("operators", new JsonObject().put("port", 0).put("tokenFile", token.toString()))
                .put("peers", new JsonObject().put("port", 0))
                .put("store", new JsonObject().put("endpoints", List.of("http://127.0.0.1:1")))
                .put("shutdown", new JsonObject().put("lagMillis", 0).put("drainMillis", 10_000));
    }

    /** Returns the settings of {@link #json}, with defaults for all other fields. */
    public static Settings of(Path folder, String host) throws EndiveholdException {
        try {
            return SettingsReader.parse(json(folder, host).encode());
        } catch (EndiveholdException e) {
            throw e;
        } catch (Exception e) {
            throw EndiveholdException.unwrap(e);
        }
    }
}
