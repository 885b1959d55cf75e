import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The platform's names, read from {@code names.properties}. */
final class Names {
    private static final Properties NAMES = new Properties();

    static {
        try (InputStream in = Names.class.getResourceAsStream("names.properties")) {
            NAMES.load(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Header of the id of a client's attempt. */
    static final String ATTEMPT = name("attempt");
    /** Header of the time until the deadline. */
    static final String DEADLINE = name("deadline");
    /** Header of the client's key. */
    static final String KEY = name("key");

    static final String MODEL = name("model");
    static final String TOKENS = name("tokens");
    static final String PREFIX = name("prefix");
    /** Header of a server's signature. */
    static final String SEAL = name("seal");
    /** Header of a server's load. */
    static final String LOAD = name("load");
    /** Header of the last event that a client has. */
    static final String LAST = name("last");
    /** Header of the store's era. */
    static final String ERA = name("era");
    /** Key of the configuration in the store. */
    static final String CONFIGURATION = name("configuration");
    /** Prefix of the keys of servers in the store. */
    static final String SERVERS = name("servers");
    /** Variable that holds the path of the settings file. */
    static final String SETTINGS = name("settings");

    private Names() {}

    /** Returns a name by its key. */
    static String name(String key) {
        String name = NAMES.getProperty(key);
        if (name == null) {
            throw new IllegalArgumentException("no name for " + key);
        }
        return name;
    }
}
