package org.banyanspoke.scenarios.faults;

/** The kinds of fault that a fault run injects. */
public enum FaultKind {
    /** The process of an entry host is killed; its replacement starts when the fault ends. */
    KILL_HOST(Target.HOST),
    /** The process of an entry host is suspended (SIGSTOP) and later resumed (SIGCONT). */
    FREEZE_HOST(Target.HOST),
    /** An entry host shuts down gracefully; its replacement starts after the process has exited. */
    STOP_HOST(Target.HOST),
    /** Peers cannot reach an entry host. */
    CUT_HOST(Target.LINK),
    /** An entry host cannot reach the log. */
    CUT_HOST_FROM_LOG(Target.LINK),
    /** Peers cannot reach the entry hosts of an availability zone. */
    CUT_ZONE(Target.LINK),
    /** The log refuses every request. */
    LOG_REFUSES(Target.LOG),
    /** The log accepts requests but never responds. */
    LOG_SILENT(Target.LOG),
    /** Every request to the log takes 1 s longer. */
    LOG_SLOW(Target.LOG),
    /** The responses to the next appends are lost while operators send tickets. */
    LOG_LOSES_ANSWERS(Target.LOG),
    /** A backend server goes down and comes back. */
    SERVER_DIES(Target.SERVER),
    /** A backend server stops responding and later resumes. */
    SERVER_FREEZES(Target.SERVER),
    /** A backend server fails every task. */
    SERVER_FAILS(Target.SERVER),
    /** A ticket marks a backend server as leaving; another puts it back in service when the fault ends. */
    SERVER_LEAVES_BY_TICKET(Target.SERVER),
    /** The host list marks a backend server as leaving; it does not return. */
    SERVER_LEAVES_BY_LIST(Target.SERVER),
    /** A backend server reports in its responses that it is leaving; it does not return. */
    SERVER_LEAVES_BY_ANSWER(Target.SERVER),
    /** Overload: background work of 10 times the usual amount arrives. */
    FLOOD(Target.LOAD),
    /** Callers cancel all jobs without a final response. */
    CANCELLATIONS(Target.LOAD),
    /** Operators concurrently send different tickets with the same number, one through each host. */
    TICKET_RACE(Target.LOAD);

    /** The kind of object that a fault affects; overlapping faults never affect the same object. */
    public enum Target {
        /** The process of an entry host. */
        HOST,
        /** The network links of an entry host or availability zone. */
        LINK,
        /** The log. */
        LOG,
        /** A backend server. */
        SERVER,
        /** Callers and operators. */
        LOAD
    }

    private final Target target;

    FaultKind(Target target) {
        this.target = target;
    }

    /** Returns the kind of object that the fault affects. */
    public Target target() {
        return target;
    }

    /** Returns whether the backend server stays out of service for the rest of the run. */
    boolean isPermanent() {
        return this == SERVER_LEAVES_BY_LIST || this == SERVER_LEAVES_BY_ANSWER;
    }
}
