package org.endivehold.daemon.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationReader;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.ConfigurationWriter;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Revision;
import org.endivehold.wire.ConfigDelta;
import org.endivehold.wire.ConfigFetch;
import org.junit.jupiter.api.Test;

class ConfigurationGossipTest {
    private static ConfigurationSnapshot snapshot(long revision, String... zonesOut) throws EndiveholdException {
        StringBuilder json = new StringBuilder("[");
        for (String zone : List.of("a", "b", "c")) {
            json.append(json.length() == 1 ? "" : ",")
                    .append("{\"kind\":\"AvailabilityZone\",\"region\":\"r\",\"name\":\"")
                    .append(zone)
                    .append("\",\"state\":\"")
                    .append(List.of(zonesOut).contains(zone) ? "out" : "in")
                    .append("\"}");
        }
        Configuration configuration = ConfigurationReader.readDocument(
                        "test", json.append("]").toString().getBytes(StandardCharsets.UTF_8))
                .orThrow();
        return new ConfigurationSnapshot(
                new Revision(revision), ConfigurationWriter.digest(configuration), configuration);
    }

    private static ConfigFetch fetch(ConfigurationSnapshot has) {
        return new ConfigFetch(has.revision(), has.digest());
    }

    @Test
    void sendsOnlyChangedObjectsIfBaseIsKept() throws EndiveholdException {
        ConfigurationSnapshot old = snapshot(4);
        ConfigurationSnapshot current = snapshot(6, "b");
        ConfigDelta delta = ConfigurationGossip.createDelta(current, Optional.of(old), fetch(old));
        assertEquals(1, delta.changed().size());
        assertTrue(delta.whole().isEmpty());
        assertEquals(current, ConfigurationGossip.applyDelta(delta, Optional.of(old)));
    }

    @Test
    void sendsWholeConfigurationIfBaseIsNotKeptOrDiffers() throws EndiveholdException {
        ConfigurationSnapshot current = snapshot(6, "b");
        ConfigurationSnapshot other = snapshot(4, "c");
        for (Optional<ConfigurationSnapshot> base :
                List.of(Optional.<ConfigurationSnapshot>empty(), Optional.of(other))) {
            ConfigDelta delta = ConfigurationGossip.createDelta(current, base, fetch(snapshot(4)));
            assertEquals(1, delta.whole().size());
            assertEquals(current, ConfigurationGossip.applyDelta(delta, Optional.empty()));
        }
    }

    @Test
    void sendsNoObjectsToDaemonThatIsNotBehind() throws EndiveholdException {
        ConfigurationSnapshot current = snapshot(6, "b");
        ConfigDelta delta = ConfigurationGossip.createDelta(current, Optional.empty(), fetch(current));
        assertEquals(List.of(), delta.changed());
        assertEquals(List.of(), delta.whole());
    }

    @Test
    void rejectsDifferenceThatWasMadeForAnotherBase() throws EndiveholdException {
        ConfigurationSnapshot old = snapshot(4);
        ConfigDelta delta = ConfigurationGossip.createDelta(snapshot(6, "b"), Optional.of(old), fetch(old));
        EndiveholdException wrongDigest = assertThrows(
                EndiveholdException.class, () -> ConfigurationGossip.applyDelta(delta, Optional.of(snapshot(5, "a"))));
        assertEquals(ErrorType.CONFIG_DIGEST, wrongDigest.type());
        EndiveholdException withoutBase =
                assertThrows(EndiveholdException.class, () -> ConfigurationGossip.applyDelta(delta, Optional.empty()));
        assertEquals(ErrorType.CONFIG_INVALID, withoutBase.type());
    }
}
