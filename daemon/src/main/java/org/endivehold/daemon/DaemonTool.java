package org.endivehold.daemon;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.daemon.settings.SettingsException;
import org.endivehold.daemon.settings.SettingsFault;
import org.endivehold.daemon.settings.SettingsReader;

/**
 * The daemon's command line: {@code endiveholdd --settings FILE}. Exit codes: 0 after a graceful shutdown, 1 if the
 * daemon cannot start or does not shut down in time, 2 for a wrong command line or invalid settings.
 */
@Command(name = "endiveholdd", description = "Runs one daemon until SIGTERM")
public final class DaemonTool {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Option(
            name = {"-s", "--settings"},
            description = "Settings file in JSON")
    @Required
    private String settings;

    /**
     * Runs the daemon until the process gets a signal to terminate.
     *
     * @param args the command-line arguments
     */
    public static void main(String[] args) {
        DaemonTool tool;
        try {
            tool = SingleCommand.singleCommand(DaemonTool.class).parse(args);
        } catch (ParseException e) {
            System.err.println("endiveholdd: " + e.getMessage() + "; usage: endiveholdd --settings FILE");
            Runtime.getRuntime().halt(EXIT_USAGE);
            return;
        }
        tool.run();
    }

    private void run() {
        Settings parsed;
        try {
            parsed = SettingsReader.read(Path.of(settings));
        } catch (SettingsException e) {
            for (SettingsFault fault : e.faults()) {
                System.err.println("endiveholdd: " + fault.path() + ": " + fault.reason());
            }
            Runtime.getRuntime().halt(EXIT_USAGE);
            return;
        }
        Daemon daemon = new Daemon(parsed);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutdown(daemon), "shutdown"));
        daemon.start().onFailure(failure -> {
            System.err.println("endiveholdd: cannot start: " + failure.getMessage());
            Runtime.getRuntime().halt(EXIT_FAILED);
        });
    }

    /**
     * Waits for the graceful shutdown and halts with exit code 0. If the hook merely returned, the process would end
     * with the exit code of the signal.
     */
    private static void shutdown(Daemon daemon) {
        CountDownLatch stopped = new CountDownLatch(1);
        daemon.shutdown().onComplete(done -> stopped.countDown());
        long timeoutMillis = daemon.context().settings().shutdown().lagMillis()
                + daemon.context().settings().shutdown().drainMillis()
                + TimeUnit.SECONDS.toMillis(10);
        try {
            boolean inTime = stopped.await(timeoutMillis, TimeUnit.MILLISECONDS);
            Runtime.getRuntime().halt(inTime ? EXIT_OK : EXIT_FAILED);
        } catch (InterruptedException e) {
            Runtime.getRuntime().halt(EXIT_FAILED);
        }
    }
}
