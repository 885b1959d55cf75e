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

/** Serves operators' requests to check, publish, show and list configurations. */
final class ConfigurationHandler {
    private static final Logger log = Logger.getLogger(ConfigurationHandler.class);
    private static final int MAX_KEPT_REVISIONS = 50;
    private static final int MAX_OPERATOR_LENGTH = 128;

    private final ConfigurationArchive archive;
    private final Publisher publisher;
    private final ConfigurationService service;

    ConfigurationHandler(PlatformStore store, ConfigurationService service) {
        this.archive = new ConfigurationArchive(store);
        this.publisher = new Publisher(store, MAX_KEPT_REVISIONS);
        this.service = service;
    }

    /** Checks the configuration in the body without publishing it, and returns its faults. */
    JsonObject check(Buffer body) {
        ConfigurationReadResult reading = ConfigurationReader.readDocument("configuration", body.getBytes());
        return new JsonObject().put("faults", faults(reading.faults()));
    }

    /** Publishes the configuration in the body and returns the record of its revision. */
    Future<JsonObject> publish(Buffer body) {
        PublishRequest request;
        try {
            request = parseRequest(body);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        return Future.fromCompletionStage(publisher.publish(request)).map(ConfigurationHandler::logAndDescribe);
    }

    /**
     * Returns a revision from the key-value service, or the newest one if none is given. If the newest cannot be read,
     * falls back to the revision in force at this daemon; the member {@code source} tells which it is.
     */
    Future<JsonObject> configuration(Optional<String> revision) {
        if (revision.isPresent()) {
            Revision requested;
            try {
                requested = new Revision(Long.parseLong(revision.get()));
            } catch (IllegalArgumentException e) {
                return badRequest("the revision is not a number");
            }
            return Future.fromCompletionStage(archive.find(requested)).compose(this::load);
        }
        return Future.fromCompletionStage(archive.head())
                .compose(stored -> stored.isPresent()
                        ? load(stored.get().head())
                        : Future.succeededFuture(document(Revision.ZERO, "", Optional.empty(), "store")))
                .recover(failure -> service.current()
                        .map(snapshot -> Future.succeededFuture(inForceDocument(snapshot)))
                        .orElse(Future.failedFuture(failure)));
    }

    /** Returns the records of the revisions that are still stored, newest first. */
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

    private static JsonObject inForceDocument(ConfigurationSnapshot snapshot) {
        return document(snapshot.revision(), snapshot.digest(), Optional.of(snapshot.configuration()), "in-force");
    }

    private static JsonObject document(
            Revision revision, String digest, Optional<Configuration> configuration, String source) {
        JsonArray objects = new JsonArray();
        configuration.ifPresent(present -> {
            for (ObjectNode node : ConfigurationWriter.objects(present).values()) {
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

    private static JsonObject logAndDescribe(PublishResult result) {
        LogEvent.of("configuration-published")
                .with("revision", result.head().revision())
                .with("publish", result.head().publishId())
                .with("operator", result.head().operator())
                .with("repeated", result.repeated())
                .info(log);
        return record(result.head()).put("repeated", result.repeated());
    }

    private static PublishRequest parseRequest(Buffer body) throws EndiveholdException {
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
                .put("reason", fault.reason().label())
                .put("detail", fault.detail())));
        return array;
    }

    private static <T> Future<T> badRequest(String reason) {
        return Future.failedFuture(new EndiveholdException(ErrorType.OPERATOR_REQUEST, reason));
    }
}
