package org.endivehold.standin.hosts;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import org.endivehold.platform.HostEntry;
import org.endivehold.standin.http.HttpStandin;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.upstream.protocol.ProtocolJson;

/** The stand-in for the host list: {@code GET /v1/hosts} reads it, {@code PUT /v1/hosts} replaces it after the lag. */
public final class HostsStandin extends HttpStandin<HostsFaults> {
    private static final String HOSTS = "/v1/hosts";

    private volatile HostsBody shown = new HostsBody(List.of());

    /**
     * Creates an empty list.
     *
     * @param port TCP port; 0 for any free one
     * @param log takes what it does
     */
    public HostsStandin(int port, StandinLog log) {
        super(port, HostsFaults.NONE, HostsFaults.class, log);
    }

    /**
     * Returns the URL of the list.
     *
     * @return URL once started
     */
    public String url() {
        return "http://" + ADDRESS + ":" + port() + HOSTS;
    }

    /**
     * Replaces the list, from any thread; it shows after the lag.
     *
     * @param hosts the new list
     */
    public void hosts(List<HostEntry> hosts) {
        HostsBody next = new HostsBody(hosts);
        long lag = faults().lagMillis();
        if (lag > 0) {
            vertx.setTimer(lag, ignored -> shown = next);
        } else {
            shown = next;
        }
    }

    @Override
    protected void serve(HttpServerRequest request) {
        if (faults().outage()) {
            request.connection().close();
        } else if (!request.path().equals(HOSTS)) {
            request.response().setStatusCode(404).end();
        } else if (request.method().equals(HttpMethod.PUT)) {
            request.body().onSuccess(body -> {
                ProtocolJson.read(body.getBytes(), HostsBody.class).ifPresent(next -> hosts(next.hosts()));
                reply(request, 200, shown);
            });
        } else {
            reply(request, 200, shown);
        }
    }
}
