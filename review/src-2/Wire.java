import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** The names of the platform's pages, read from wire.properties. */
final class Wire {
    private static final Properties NAMES = load();

    static final String ATTEMPT = name("attempt");
    static final String SEAL = name("seal");
    static final String DEADLINE = name("deadline");
    static final String MODEL = name("model");
    static final String TOKENS = name("tokens");
    static final String PREFIX = name("prefix");
    static final String LEAVING = name("leaving");
    static final String ERA = name("era");
    static final String BOOT = name("boot");
    static final String CONFIGURATION = name("configuration");
    static final String RANGE = name("range");
    static final String WATCH = name("watch");
    static final String TRANSACTION = name("transaction");
    static final String LEASE = name("lease");
    static final String KEEP = name("keep");
    static final String LEASE_END = name("lease-end");

    private Wire() {}

    private static Properties load() {
        Properties names = new Properties();
        try (InputStream in = Wire.class.getResourceAsStream("wire.properties")) {
            names.load(in);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return names;
    }

    private static String name(String key) {
        return NAMES.getProperty(key);
    }
}
