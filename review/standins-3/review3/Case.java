package review3;

import java.nio.file.Path;

/** Runs a case and ends with its exit status. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Runs the case; returns its exit status. */
    abstract int run(Site site) throws Exception;

    static void main(Case each, String folder) throws Exception {
        int status = NOT_RUN;
        Site site = new Site();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> site.hosts.forEach(Host::kill)));
        try {
            status = each.run(site);
        } catch (Exception e) {
            site.record.add("the case could not run: " + e);
            e.printStackTrace();
        }
        site.close();
        site.record.add(status == BROKEN ? "the rule was broken" : status == HELD ? "the rule held" : "not run");
        site.record.write(Path.of(folder, "record.txt"));
        System.out.println("exit status " + status);
        Runtime.getRuntime().halt(status);
    }
}
