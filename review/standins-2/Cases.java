/** What the cases have in common. */
final class Cases {
    private Cases() {}

    /** Part of a case. */
    interface Play {
        void run() throws Exception;
    }

    /** Plays a case, ends its processes and exits: 1 if a rule was broken, 0 if not, 2 if the case could not run. */
    static void exit(Stage stage, Play play) throws Exception {
        int status = 2;
        try {
            play.run();
            status = stage.ledger.broken().isEmpty() ? 0 : 1;
            stage.record.report(status == 0 ? "the rules were kept" : "broken: " + stage.ledger.broken().size());
        } catch (Exception e) {
            e.printStackTrace();
            stage.record.report("the case could not run: " + e);
        }
        stage.close();
        System.exit(status);
    }

    static Thread background(Play play) {
        Thread thread = new Thread(() -> {
            try {
                play.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Sends a job, records what was sent and answered, and returns the answer. */
    static Caller.Answer post(Stage stage, Stage.Host host, String path, String body, int deadlineMillis) {
        stage.record.line("client", "POST " + path + " to " + host.name + ", waits " + deadlineMillis + " ms: " + body);
        Caller.Answer answer = Caller.post(host.callerPort, path, body, deadlineMillis);
        stage.record.line("client", "answer to " + path + ": " + answer.status() + " " + answer.body() + answer.end());
        return answer;
    }
}
