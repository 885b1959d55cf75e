package org.endivehold.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationArchive;
import org.endivehold.config.ConfigurationFault;
import org.endivehold.config.ConfigurationReadResult;
import org.endivehold.config.ConfigurationReader;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.ConfigurationWriter;
import org.endivehold.config.PublishRequest;
import org.endivehold.config.PublishResult;
import org.endivehold.config.Publisher;
import org.endivehold.config.RevisionRecord;
import org.endivehold.daemon.config.ConfigurationService;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Revision;
import org.endivehold.platform.PlatformStore;
import org.jboss.logging.Logger;

/** Answers the operators' calls about configurations. */
final class ConfigurationHandler {
    private static final Logger log = Logger.getLogger(ConfigurationHandler.class);
    private static final int KEPT_REVISIONS = 50;
    private static final int MAX_OPERATOR_LENGTH = 128;

    private final ConfigurationArchive archive;
    private final Publisher publisher;
    private final ConfigurationService service;

    ConfigurationHandler(PlatformStore store, ConfigurationService service) {
        this.archive = new ConfigurationArchive(store);
        this.publisher = new Publisher(store, KEPT_REVISIONS);
        this.service = service;
    }

    /** Checks the objects in the body. */
    JsonObject check(Buffer body) {
        ConfigurationReadResult reading = ConfigurationReader.readDocument("configuration", body.getBytes());
        return new JsonObject().put("faults", faults(reading.faults()));
    }

    /** Publishes the configuration in the body. */
    Future<JsonObject> publish(Buffer body) {
        PublishRequest request;
        try {
            request = request(body);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        return Future.fromCompletionStage(publisher.publish(request)).map(ConfigurationHandler::published);
    }

    /** Returns a revision; the newest that can be had if none is named. */
    Future<JsonObject> configuration(Optional<String> revision) {
        if (revision.isPresent()) {
            Revision wanted;
            try {
                wanted = new Revision(Long.parseLong(revision.get()));
            } catch (IllegalArgumentException e) {
                return malformed("the revision is not a number");
            }
            return Future.fromCompletionStage(archive.find(wanted)).compose(this::load);
        }
        return Future.fromCompletionStage(archive.head())
                .compose(stored -> stored.isPresent()
                        ? load(stored.get().head())
                        : Future.succeededFuture(document(Revision.ZERO, "", Optional.empty(), "store")))
                .recover(failure -> service.current()
                        .map(snapshot -> Future.succeededFuture(inForce(snapshot)))
                        .orElse(Future.failedFuture(failure)));
    }

    /** Returns the records of the revisions that are kept, newest first. */
    Future<JsonObject> history() {
        return Future.fromCompletionStage(archive.head())
                .compose(stored -> Future.fromCompletionStage(archive.history()).map(history -> {
                    JsonArray revisions = new JsonArray();
                    stored.ifPresent(head -> revisions.add(record(head.head())));
                    for (int i = history.size() - 1; i >= 0; i--) {
                        if (stored.isPresent()
                                && history.get(i)
                                                .revision()
                                                .compareTo(stored.get().head().revision())
                                        < 0) {
                            revisions.add(record(history.get(i)));
                        }
                    }
                    return new JsonObject().put("revisions", revisions);
                }));
    }

    private Future<JsonObject> load(RevisionRecord head) {
        return Future.fromCompletionStage(archive.load(head))
                .map(loaded -> document(head.revision(), head.digest(), Optional.of(loaded), "store"));
    }

    private static JsonObject inForce(ConfigurationSnapshot snapshot) {
        return document(snapshot.revision(), snapshot.digest(), Optional.of(snapshot.configuration()), "in-force");
    }

    private static JsonObject document(
            Revision revision, String digest, Optional<Configuration> configuration, String source) {
        JsonArray objects = new JsonArray();
        configuration.ifPresent(found -> {
            for (ObjectNode node : ConfigurationWriter.objects(found).values()) {
                objects.add(new JsonObject(node.toString()));
            }
        });
        return new JsonObject()
                .put("revision", revision.value())
                .put("digest", digest)
                .put("source", source)
                .put("objects", objects);
    }

    private static JsonObject record(RevisionRecord head) {
        return new JsonObject()
                .put("revision", head.revision().value())
                .put("digest", head.digest())
                .put("publishId", head.publishId())
                .put("parent", head.parent().value())
                .put("operator", head.operator())
                .put("publishedAtMillis", head.publishedAtMillis());
    }

    private static JsonObject published(PublishResult result) {
        LogEvent.of("configuration-published")
                .with("revision", result.head().revision())
                .with("publish", result.head().publishId())
                .with("operator", result.head().operator())
                .with("repeated", result.repeated())
                .info(log);
        return record(result.head()).put("repeated", result.repeated());
    }

    private static PublishRequest request(Buffer body) throws EndiveholdException {
        try {
            JsonObject json = new JsonObject(body);
            byte[] objects = json.getJsonArray("configuration").toBuffer().getBytes();
            Configuration configuration =
                    ConfigurationReader.readDocument("configuration", objects).orThrow();
            String operator = json.getString("operator", "");
            if (operator.isEmpty() || operator.length() > MAX_OPERATOR_LENGTH) {
                throw new EndiveholdException(
                        ErrorType.OPERATOR_REQUEST, "the operator has to have 1 to 128 characters");
            }
            return new PublishRequest(
                    configuration,
                    new Revision(json.getLong("parent")),
                    json.getString("publishId"),
                    operator,
                    System.currentTimeMillis());
        } catch (DecodeException | ClassCastException | NullPointerException | IllegalArgumentException e) {
            throw new EndiveholdException(
                            ErrorType.OPERATOR_REQUEST, "expected configuration, parent, publishId and operator")
                    .causedBy(e);
        }
    }

    private static JsonArray faults(List<ConfigurationFault> faults) {
        JsonArray array = new JsonArray();
        faults.forEach(fault -> array.add(new JsonObject()
                .put("object", fault.object())
                .put("field", fault.field())
                .put("reason", fault.reason().word())
                .put("detail", fault.detail())));
        return array;
    }

    private static <T> Future<T> malformed(String reason) {
        return Future.failedFuture(new EndiveholdException(ErrorType.OPERATOR_REQUEST, reason));
    }
}
