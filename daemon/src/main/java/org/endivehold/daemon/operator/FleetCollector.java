package org.endivehold.daemon.operator;

import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.endivehold.daemon.peer.PeerTransport;
import org.endivehold.error.EndiveholdException;
import org.endivehold.membership.LiveHosts;
import org.endivehold.membership.Member;
import org.endivehold.misc.HostId;
import org.endivehold.misc.RequestId;
import org.endivehold.platform.HostEntry;
import org.endivehold.platform.HostList;
import org.endivehold.wire.Message;
import org.endivehold.wire.StatusAnswer;
import org.endivehold.wire.StatusQuery;
import org.endivehold.wire.TraceAnswer;
import org.endivehold.wire.TraceQuery;

/** Asks every daemon that the host list or the membership knows of; those that do not answer are named as such. */
final class FleetCollector {
    private static final long ANSWER_MILLIS = 2_000;

    private final PeerTransport peers;
    private final LiveHosts live;
    private final HostList list;

    FleetCollector(PeerTransport peers, LiveHosts live, HostList list) {
        this.peers = peers;
        this.live = live;
        this.list = list;
    }

    /** Returns a document per daemon, this one included. */
    Future<JsonArray> statuses(JsonObject own, boolean brief) {
        return ask(own, new StatusQuery(brief), answer -> new JsonObject()
                .put("status", new JsonObject(((StatusAnswer) answer).json())));
    }

    /** Returns the decisions of every daemon that remembers the request. */
    Future<JsonArray> traces(JsonObject own, RequestId request) {
        return ask(
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

    private Future<JsonArray> ask(JsonObject own, Message query, Function<Message, JsonObject> read) {
        return hosts().compose(hosts -> {
            List<Future<JsonObject>> answers = new ArrayList<>();
            answers.add(Future.succeededFuture(own.copy()
                    .put("host", live.self().host().value())
                    .put("membership", "alive")
                    .put("answered", true)));
            hosts.forEach((host, state) -> answers.add(askOne(host, query, read)
                    .map(answer -> answer.put("host", host.value()).put("membership", state))));
            return Future.join(answers).map(done -> {
                JsonArray daemons = new JsonArray();
                answers.stream()
                        .map(Future::result)
                        .sorted(Comparator.comparing(daemon -> daemon.getString("host")))
                        .forEach(daemons::add);
                return daemons;
            });
        });
    }

    private Future<JsonObject> askOne(HostId host, Message query, Function<Message, JsonObject> read) {
        return peers.request(host, query, ANSWER_MILLIS)
                .map(answer -> read.apply(answer).put("answered", true))
                .otherwise(failure -> new JsonObject()
                        .put("answered", false)
                        .put("error", EndiveholdException.unwrap(failure).getMessage()));
    }

    /** Returns the other hosts with the state that the membership believes them in; {@code listed} if it knows none. */
    private Future<Map<HostId, String>> hosts() {
        return Future.fromCompletionStage(list.hosts())
                .otherwise(failure -> List.of())
                .map(entries -> {
                    Map<HostId, String> hosts = new TreeMap<>();
                    for (HostEntry entry : entries) {
                        peers.address(entry.host(), entry.address(), entry.peerPort());
                        hosts.put(entry.host(), "listed");
                    }
                    for (Member member : live.members()) {
                        hosts.put(member.host(), member.state().name().toLowerCase(java.util.Locale.ROOT));
                    }
                    hosts.remove(live.self().host());
                    return hosts;
                });
    }
}
