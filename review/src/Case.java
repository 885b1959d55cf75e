import java.io.IOException;
import java.nio.file.Path;

/** Runs one case: exit status 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. */
interface Case {
    /** Returns whether the rule held. */
    boolean run(boolean trouble, Record record, Fleet fleet) throws IOException;

    /**
     * Runs a case.
     *
     * @param args the root of the repository and the file of the record
     */
    static void run(String[] args, Case body) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[1]));
        Fleet fleet = new Fleet(Path.of(args[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::stop));
        int status;
        try {
            record.line(trouble ? "with the disruption" : "without the disruption");
            status = body.run(trouble, record, fleet) ? 0 : 1;
            record.say(status == 0 ? "the rule held" : "the rule was broken");
        } catch (IOException | RuntimeException e) {
            record.say("the case could not run: " + e);
            status = 2;
        }
        System.exit(status);
    }
}
