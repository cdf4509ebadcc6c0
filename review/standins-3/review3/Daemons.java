package review3;

import java.util.concurrent.ThreadFactory;

/** Threads that don't keep the process alive. */
final class Daemons {
    static final ThreadFactory FACTORY = task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    };

    private Daemons() {}

    static void start(Runnable task) {
        FACTORY.newThread(task).start();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
