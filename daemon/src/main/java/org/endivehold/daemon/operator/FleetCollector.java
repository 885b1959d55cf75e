package org.endivehold.daemon.operator;

import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import org.endivehold.daemon.peer.PeerTransport;
import org.endivehold.error.EndiveholdException;
import org.endivehold.membership.Member;
import org.endivehold.membership.MemberDirectory;
import org.endivehold.misc.HostId;
import org.endivehold.misc.RequestId;
import org.endivehold.wire.Message;
import org.endivehold.wire.StatusAnswer;
import org.endivehold.wire.StatusQuery;
import org.endivehold.wire.TraceAnswer;
import org.endivehold.wire.TraceQuery;

/** Queries all registered daemons. The result also contains an entry for each daemon that did not answer. */
final class FleetCollector {
    private static final long QUERY_TIMEOUT_MILLIS = 2_000;

    private final PeerTransport peers;
    private final MemberDirectory members;

    FleetCollector(PeerTransport peers, MemberDirectory members) {
        this.peers = peers;
        this.members = members;
    }

    /** Returns one status document per daemon, including this one, sorted by host. */
    Future<JsonArray> statuses(JsonObject own, boolean brief) {
        return queryAll(own, new StatusQuery(brief), answer -> new JsonObject()
                .put("status", new JsonObject(((StatusAnswer) answer).json())));
    }

    /** Returns the trace events of a request from every daemon, including this one, sorted by host. */
    Future<JsonArray> traces(JsonObject own, RequestId request) {
        return queryAll(
                own, new TraceQuery(request), answer -> new JsonObject().put("events", events((TraceAnswer) answer)));
    }

    static JsonArray events(TraceAnswer answer) {
        JsonArray events = new JsonArray();
        answer.events()
                .forEach(event -> events.add(new JsonObject()
                        .put("atMillis", event.atMillis())
                        .put("step", event.step())
                        .put("detail", event.detail())));
        return events;
    }

    private Future<JsonArray> queryAll(JsonObject own, Message query, Function<Message, JsonObject> read) {
        List<Future<JsonObject>> answers = new ArrayList<>();
        answers.add(Future.succeededFuture(addMembership(own.copy().put("answered", true), members.self())));
        for (Member member : members.others()) {
            answers.add(query(member.host(), query, read).map(answer -> addMembership(answer, member)));
        }
        return Future.join(answers).map(done -> {
            JsonArray daemons = new JsonArray();
            answers.stream()
                    .map(Future::result)
                    .sorted(Comparator.comparing(daemon -> daemon.getString("host")))
                    .forEach(daemons::add);
            return daemons;
        });
    }

    private static JsonObject addMembership(JsonObject answer, Member member) {
        return answer.put("host", member.host().value()).put("membership", member.leaving() ? "leaving" : "registered");
    }

    private Future<JsonObject> query(HostId host, Message query, Function<Message, JsonObject> read) {
        return peers.request(host, query, QUERY_TIMEOUT_MILLIS)
                .map(answer -> read.apply(answer).put("answered", true))
                .otherwise(failure -> new JsonObject()
                        .put("answered", false)
                        .put("error", EndiveholdException.unwrap(failure).getMessage()));
    }
}
