package org.banyanspoke.host.soak;

/** What the soak does to the system from outside. */
enum FaultKind {
    /** A host is killed and started again at the end. */
    HOST_KILLED(Target.HOST),
    /** All hosts are killed and started again at the end. */
    ALL_HOSTS_KILLED(Target.SITE),
    /** A host does not run until the end, and then goes on. */
    HOST_PAUSED(Target.HOST),
    /** A host gets SIGTERM, and is started again when it has ended. */
    HOST_STOPPED(Target.HOST),
    /** A host gets SIGHUP with other settings. */
    HOST_RELOADED(Target.HOST),
    /** The connections of callers to a host are closed. */
    CALLERS_RESET(Target.HOST),
    /** Callers and a host hear of each other late. */
    CALLERS_DELAYED(Target.HOST),
    /** What callers send to a host is held back. */
    CALLERS_SILENT(Target.HOST),
    /** The store refuses all calls. */
    STORE_REFUSES(Target.SITE),
    /** A host cannot connect to the store. */
    STORE_CUT(Target.HOST),
    /** The store's answers to a host are held back. */
    STORE_SILENT(Target.HOST),
    /** The store and a host hear of each other late. */
    STORE_DELAYED(Target.HOST),
    /** The operator changes the configuration. */
    CONFIGURATION_CHANGED(Target.SITE),
    /** The connections to a server are closed. */
    SERVER_RESET(Target.SERVER),
    /** A server cannot be connected to. */
    SERVER_CUT(Target.SERVER),
    /** Orders to a server are held back. */
    SERVER_ORDERS_SILENT(Target.SERVER),
    /** The answers of a server are held back. */
    SERVER_ANSWERS_SILENT(Target.SERVER),
    /** A server's orders and answers come late. */
    SERVER_DELAYED(Target.SERVER),
    /** A server crashes and starts again under its id. */
    SERVER_RESTARTED(Target.SERVER),
    /** A server fails all that it starts. */
    SERVER_FAILS(Target.SERVER),
    /** A server gives no answers to orders and carries them out later. */
    SERVER_CARRIES_OUT_LATE(Target.SERVER),
    /** A server leaves the registry, though it runs, and is there again at the end. */
    SERVER_ENTRY_LOST(Target.SERVER);

    /** What a fault acts on. */
    enum Target {
        HOST,
        SERVER,
        SITE
    }

    private final Target target;

    FaultKind(Target target) {
        this.target = target;
    }

    Target target() {
        return target;
    }
}
