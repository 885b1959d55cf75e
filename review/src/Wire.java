import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.Properties;

/** The platform's names: headers, paths, keys and variables, from {@code wire.properties}. */
final class Wire {
    static final String ATTEMPT = name("attempt");
    static final String SEAL = name("seal");
    static final String TARGET = name("target");
    static final String INSTANCE = name("instance");
    static final String LOAD = name("load");
    static final String DEADLINE = name("deadline");
    static final String MODEL = name("model");
    static final String TOKENS = name("tokens");
    static final String PREFIX = name("prefix");
    static final String API_KEY = name("api-key");
    static final String LAST_EVENT = name("last-event");
    static final String BOOT = name("boot");
    static final String ERA = name("era");
    static final String CONFIGURATION = name("configuration");
    static final String RANGE = name("range");
    static final String WATCH = name("watch");
    static final String TRANSACTION = name("transaction");
    static final String LEASE = name("lease");
    static final String KEEP = name("keep");
    static final String LEASE_END = name("lease-end");

    private Wire() {}

    /** Returns the name of a header as servers look it up: in lower case. */
    static String key(String header) {
        return header.toLowerCase(Locale.ROOT);
    }

    private static String name(String key) {
        try (InputStream file = Wire.class.getResourceAsStream("wire.properties")) {
            Properties names = new Properties();
            names.load(file);
            return names.getProperty(key);
        } catch (IOException e) {
            throw new IllegalStateException("wire.properties cannot be read", e);
        }
    }
}
