package org.endivehold.daemon.request;

import io.vertx.core.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.upstream.UpstreamDirectory;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.PlainAnswer;
import org.endivehold.upstream.PlainCall;
import org.endivehold.upstream.PlainLoad;
import org.endivehold.upstream.PlainService;

/** Plain services that reply by a script, and with {@code OK} after its end; used on the event loop only. */
final class FakeUpstreams implements Service, UpstreamDirectory {
    /** Reply of an upstream to one call. */
    enum Reply {
        OK,
        LARGE,
        ERROR_STATUS,
        UNREACHABLE,
        REFUSED,
        BROKEN,
        SILENT
    }

    final Deque<Reply> script = new ArrayDeque<>();
    final List<UpstreamName> calls = new ArrayList<>();
    int executions;

    @Override
    public Engine engine(UpstreamName name) throws EndiveholdException {
        throw new EndiveholdException(ErrorType.NO_UPSTREAM, name);
    }

    @Override
    public PlainService plainService(UpstreamName name) {
        return new PlainService() {
            @Override
            public CompletionStage<PlainAnswer> call(PlainCall call) {
                calls.add(name);
                return reply(name, script.isEmpty() ? Reply.OK : script.remove());
            }

            @Override
            public CompletionStage<PlainLoad> loadReport() {
                return new CompletableFuture<>();
            }
        };
    }

    private CompletionStage<PlainAnswer> reply(UpstreamName name, Reply reply) {
        return switch (reply) {
            case OK -> answer(201, 10);
            case LARGE -> answer(201, 100_000);
            case ERROR_STATUS -> answer(500, 10);
            case UNREACHABLE -> failed(RunOutcome.NO, ErrorType.UPSTREAM_UNREACHABLE, name);
            case REFUSED -> failed(RunOutcome.NO, ErrorType.UPSTREAM_REFUSED, name, "busy");
            case BROKEN -> {
                executions++;
                yield failed(RunOutcome.UNKNOWN, ErrorType.UPSTREAM_BROKEN, name);
            }
            case SILENT -> {
                executions++;
                yield new CompletableFuture<>();
            }
        };
    }

    private CompletionStage<PlainAnswer> answer(int status, int bytes) {
        executions++;
        return CompletableFuture.completedStage(
                new PlainAnswer(status, java.util.Map.of("Run", "number-" + executions), new byte[bytes]));
    }

    private static CompletionStage<PlainAnswer> failed(RunOutcome run, ErrorType type, Object... args) {
        return CompletableFuture.failedStage(new EndiveholdException(run, type, args));
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> dependencies() {
        return Set.of();
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        return Future.succeededFuture();
    }
}
