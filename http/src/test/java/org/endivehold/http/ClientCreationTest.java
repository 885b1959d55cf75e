package org.endivehold.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against a client that is created elsewhere, whose answers nobody checks. */
class ClientCreationTest {
    private static final List<String> MODULES = List.of("core", "http", "wire", "relay", "platform", "daemon", "cli");
    private static final Pattern CREATION = Pattern.compile("createHttpClient\\(|httpClientBuilder\\(|WebClient\\.");

    @Test
    void allClientsAreCreatedInOnePlace() throws IOException {
        List<String> creating = new ArrayList<>();
        for (String module : MODULES) {
            try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main", "java"))) {
                for (Path file :
                        files.filter(f -> f.toString().endsWith(".java")).toList()) {
                    if (CREATION.matcher(Files.readString(file)).find()) {
                        creating.add(file.getFileName().toString());
                    }
                }
            }
        }
        assertEquals(List.of("HttpClients.java"), creating);
    }
}
