package org.banyanspoke.host.soak;

/** Faults that the soak test injects. */
enum FaultKind {
    /** A host is killed, and restarted when the fault ends. */
    HOST_KILLED(Target.HOST),
    /** All hosts are killed, and restarted when the fault ends. */
    ALL_HOSTS_KILLED(Target.SITE),
    /** A host is suspended with SIGSTOP, and resumed when the fault ends. */
    HOST_PAUSED(Target.HOST),
    /** A host receives SIGTERM, and is restarted if it has exited when the fault ends. */
    HOST_STOPPED(Target.HOST),
    /** A host receives SIGHUP after a change of its settings. */
    HOST_RELOADED(Target.HOST),
    /** All callers' connections to a host are closed once. */
    CALLERS_RESET(Target.HOST),
    /** Traffic between callers and a host is delayed. */
    CALLERS_DELAYED(Target.HOST),
    /** Requests of callers to a host are blocked. */
    CALLERS_BLOCKED(Target.HOST),
    /** The store refuses all calls. */
    STORE_REFUSES(Target.SITE),
    /** A host cannot connect to the store. */
    STORE_UNREACHABLE(Target.HOST),
    /** The store's responses to a host are blocked. */
    STORE_RESPONSES_BLOCKED(Target.HOST),
    /** Traffic between the store and a host is delayed. */
    STORE_DELAYED(Target.HOST),
    /** The operator changes the configuration. */
    CONFIGURATION_CHANGED(Target.SITE),
    /** The operator takes the servers of a zone out of use, and returns them when the fault ends. */
    ZONE_EVACUATED(Target.ZONE),
    /** All connections to a server are closed once. */
    SERVER_RESET(Target.SERVER),
    /** Connections to a server are refused. */
    SERVER_UNREACHABLE(Target.SERVER),
    /** Requests to a server are blocked. */
    SERVER_REQUESTS_BLOCKED(Target.SERVER),
    /** Responses of a server are blocked. */
    SERVER_RESPONSES_BLOCKED(Target.SERVER),
    /** Traffic between hosts and a server is delayed. */
    SERVER_DELAYED(Target.SERVER),
    /** A server crashes and restarts under the same id. */
    SERVER_RESTARTED(Target.SERVER),
    /** A server fails every task that it starts. */
    SERVER_FAILS(Target.SERVER),
    /** A server delays the execution of start and stop requests. */
    SERVER_EXECUTES_LATE(Target.SERVER),
    /** A running server is removed from the registry, and registered again when the fault ends. */
    SERVER_ENTRY_LOST(Target.SERVER);

    /** What a fault affects. */
    enum Target {
        HOST,
        SERVER,
        ZONE,
        SITE
    }

    private final Target target;

    FaultKind(Target target) {
        this.target = target;
    }

    Target target() {
        return target;
    }

    /** Returns whether hosts cannot read the store during the fault, or only late. */
    boolean isOutageOfTheStore() {
        return switch (this) {
            case STORE_REFUSES, STORE_UNREACHABLE, STORE_RESPONSES_BLOCKED, STORE_DELAYED -> true;
            default -> false;
        };
    }
}
