import java.io.IOException;
import java.util.List;

/**
 * The process that collects the log of one daemon reads nothing for some seconds. The daemon must not wait for it: its requests have to
 * be answered.
 */
final class UnreadLog {
    private static final long UNREAD_MILLIS = 20_000;
    private static final int PER_SECOND = 60;

    private final boolean trouble;
    private final Record record;
    private final Fleet fleet;

    private UnreadLog(boolean trouble, Record record, Fleet fleet) {
        this.trouble = trouble;
        this.record = record;
        this.fleet = fleet;
    }

    public static void main(String[] args) throws IOException {
        Case.run(args, (trouble, record, fleet) -> new UnreadLog(trouble, record, fleet).run());
    }

    private boolean run() throws IOException {
        for (String zone : List.of("bogota-a", "bogota-b", "bogota-c")) {
            fleet.addServer("i-" + zone, zone, 43);
        }
        Daemon first = fleet.addDaemon("bogota-a");
        fleet.addDaemon("bogota-a");
        fleet.start();
        Platform platform = new Platform(fleet.daemons);
        Traffic traffic = new Traffic(fleet, record);
        traffic.start(PER_SECOND, () -> platform.choose("bogota-a"));
        Threads.sleep(4_000);
        if (trouble) {
            first.outputUnread = true;
            record.line("nobody reads the log of " + first.name + " any more");
        }
        Threads.sleep(UNREAD_MILLIS);
        first.outputUnread = false;
        record.line("the log of " + first.name + " is read again");
        Threads.sleep(3_000);
        traffic.stop();
        Threads.sleep(3_000);
        traffic.sayGone();
        return traffic.checkTimeouts("plain requests", List.copyOf(traffic.sent));
    }
}
