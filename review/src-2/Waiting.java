import java.util.function.BooleanSupplier;

/** Waits that are not interrupted. */
final class Waiting {
    private Waiting() {}

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void waitOn(Object monitor, long millis) {
        try {
            monitor.wait(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static boolean until(long limitMillis, BooleanSupplier condition) {
        long end = System.nanoTime() + limitMillis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            sleep(20);
        }
        return true;
    }
}
