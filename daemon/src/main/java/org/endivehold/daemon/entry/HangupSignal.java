package org.endivehold.daemon.entry;

import java.lang.reflect.Proxy;
import java.util.Optional;
import org.endivehold.misc.LogEvent;
import org.jboss.logging.Logger;

/**
 * Handles SIGHUP, which requests a reload of the settings. Without a handler, the signal would terminate the process;
 * so it is installed before anything else, and a signal that comes before the daemon can reload is kept until it can.
 *
 * <p>The signal classes of the JDK are used through reflection, since the compiler warns about any direct use.
 */
final class HangupSignal {
    private static final Logger log = Logger.getLogger(HangupSignal.class);

    private Optional<Runnable> action = Optional.empty();
    private boolean pending;

    HangupSignal() {}

    /** Installs the handler; signals take effect after {@link #onSignal}. */
    static HangupSignal install() {
        HangupSignal signal = new HangupSignal();
        signal.register();
        return signal;
    }

    /** Sets what a signal does; does it at once if one has come. */
    synchronized void onSignal(Runnable value) {
        action = Optional.of(value);
        if (pending) {
            pending = false;
            value.run();
        }
    }

    /** Handles one signal. */
    synchronized void received() {
        pending = action.isEmpty();
        action.ifPresent(Runnable::run);
    }

    private void register() {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        if (method.getName().equals("handle")) {
                            received();
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
