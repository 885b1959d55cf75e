package org.endivehold.daemon.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.junit.jupiter.api.Test;

class KernelTest {
    private final List<String> events = new ArrayList<>();

    private Service service(String name, String... needs) {
        return new Service() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public Set<String> dependencies() {
                return Set.of(needs);
            }

            @Override
            public Future<Void> start(Kernel kernel) {
                events.add("start " + name);
                return name.startsWith("bad")
                        ? Future.failedFuture(new EndiveholdException(ErrorType.INTERNAL, name))
                        : Future.succeededFuture();
            }

            @Override
            public Future<Void> drain() {
                events.add("drain " + name);
                return Future.succeededFuture();
            }

            @Override
            public Future<Void> stop() {
                events.add("stop " + name);
                return Future.succeededFuture();
            }
        };
    }

    @Test
    void startsInDependencyOrderAndStopsInReverse() {
        Kernel kernel = new Kernel().add(service("http", "config")).add(service("config"));
        assertTrue(kernel.start().succeeded());
        assertTrue(kernel.shutdown().succeeded());
        assertEquals(
                List.of("start config", "start http", "drain http", "drain config", "stop http", "stop config"),
                events);
    }

    @Test
    void stopsRunningServicesIfOneFailsToStart() {
        Kernel kernel = new Kernel().add(service("bad", "config")).add(service("config"));
        assertTrue(kernel.start().failed());
        assertEquals(List.of("start config", "start bad", "stop config"), events);
    }

    @Test
    void rejectsCyclicDependencies() {
        Kernel kernel = new Kernel().add(service("a", "b")).add(service("b", "a"));
        assertEquals(
                ErrorType.SERVICE_CYCLE,
                EndiveholdException.unwrap(kernel.start().cause()).type());
    }

    @Test
    void rejectsMissingDependency() {
        Kernel kernel = new Kernel().add(service("a", "b"));
        assertEquals(
                ErrorType.SERVICE_MISSING,
                EndiveholdException.unwrap(kernel.start().cause()).type());
    }
}
