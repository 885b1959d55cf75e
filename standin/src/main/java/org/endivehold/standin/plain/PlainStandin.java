package org.endivehold.standin.plain;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.apache.commons.codec.digest.DigestUtils;
import org.endivehold.misc.BootNumber;
import org.endivehold.standin.http.HttpStandin;
import org.endivehold.standin.log.StandinEvent;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.upstream.PlainLoad;
import org.endivehold.upstream.protocol.EnginePaths;
import org.endivehold.upstream.protocol.ErrorBody;

/** A plain service that logs each call; {@code POST /faults/restart} restarts it into cold start. */
public final class PlainStandin extends HttpStandin<PlainFaults> {
    private static final String RESTART_PATH = "/faults/restart";

    private final PlainParameters parameters;
    private long boot = 1;
    private long warmAtMillis;
    private long overloads;
    private long runs;
    private int inFlight;

    /**
     * Creates a warm service.
     *
     * @param port TCP port; 0 for any free one
     * @param parameters capacity and timing
     * @param log receives the service's events
     */
    public PlainStandin(int port, PlainParameters parameters, StandinLog log) {
        super(port, PlainFaults.NONE, PlainFaults.class, log);
        this.parameters = parameters;
    }

    /**
     * Returns the capacity and timing of the service.
     *
     * @return the parameters given at creation
     */
    public PlainParameters parameters() {
        return parameters;
    }

    /** Restarts the service into cold start; may be called from any thread. */
    public void restart() {
        context.runOnContext(ignored -> restartNow());
    }

    @Override
    protected void serve(HttpServerRequest request) {
        if (faults().freeze()) {
            request.pause();
        } else if (request.path().equals(EnginePaths.LOAD)) {
            reply(request, 200, load());
        } else if (request.path().equals(RESTART_PATH)) {
            restartNow();
            reply(request, 200, load());
        } else if (faults().refuse()) {
            reply(request, 503, ErrorBody.notStarted(ErrorBody.Code.REFUSED, "the service accepts no calls"));
        } else {
            request.body().onSuccess(body -> run(request, body));
        }
    }

    private void run(HttpServerRequest request, Buffer body) {
        String key = request.headers().contains("idempotency-key") ? request.getHeader("idempotency-key") : "";
        inFlight++;
        recordAccepted(key);
        long delay = Math.max(1, faults().delayMillis());
        vertx.setTimer(delay, ignored -> {
            inFlight--;
            runs++;
            boolean answered = faults().loseEvery() == 0 || runs % faults().loseEvery() != 0;
            String hash = DigestUtils.sha256Hex(body.getBytes());
            log().add(new StandinEvent.Ran(StandinLog.now(), name(), key, hash, answered));
            if (answered) {
                reply(request, 200, new RunBody(name(), runs, key));
            } else {
                request.connection().close();
            }
        });
    }

    private void recordAccepted(String key) {
        int concurrencyLimit = isCold() ? parameters.coldSlots() : parameters.slots();
        long now = StandinLog.now();
        log().add(new StandinEvent.Accepted(
                now, name(), parameters.zone().value(), key, "", key, inFlight, concurrencyLimit));
        if (inFlight > concurrencyLimit) {
            overloads++;
            log().add(new StandinEvent.Overload(now, name(), isCold(), inFlight, concurrencyLimit));
        }
    }

    private PlainLoad load() {
        return new PlainLoad(new BootNumber(boot), isCold(), parameters.slots(), inFlight, overloads, 0);
    }

    private void restartNow() {
        boot++;
        overloads = 0;
        warmAtMillis = StandinLog.now() + parameters.coldMillis();
        log().add(new StandinEvent.Restarted(StandinLog.now(), name(), boot, false, 0));
    }

    private boolean isCold() {
        return StandinLog.now() < warmAtMillis;
    }

    private String name() {
        return parameters.name().value();
    }
}
