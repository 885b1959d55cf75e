package org.endivehold.daemon.entry;

import java.lang.reflect.Proxy;
import org.endivehold.misc.LogEvent;
import org.jboss.logging.Logger;

/**
 * Installs a handler for SIGHUP, which requests a reload of the settings. Without a handler, the signal would terminate
 * the process.
 *
 * <p>The signal classes of the JDK are used through reflection, since the compiler warns about any direct use.
 */
final class HangupSignal {
    private static final Logger log = Logger.getLogger(HangupSignal.class);

    private HangupSignal() {}

    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
        } catch (ReflectiveOperationException e) {
            LogEvent.of("signal-not-handled")
                    .with("signal", "HUP")
                    .with("reason", e)
                    .warn(log);
        }
    }
}
