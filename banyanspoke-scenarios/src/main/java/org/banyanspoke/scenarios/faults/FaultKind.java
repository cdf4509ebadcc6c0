package org.banyanspoke.scenarios.faults;

/** What a fault run can do to a cluster. */
public enum FaultKind {
    /** An entry host is killed; its replacement starts at the end of the fault. */
    KILL_HOST(Target.HOST),
    /** An entry host is frozen and goes on. */
    FREEZE_HOST(Target.HOST),
    /** An entry host stops gracefully; its replacement starts when it has ended. */
    STOP_HOST(Target.HOST),
    /** Others cannot reach an entry host. */
    CUT_HOST(Target.LINK),
    /** An entry host cannot reach the log. */
    CUT_HOST_FROM_LOG(Target.LINK),
    /** Others cannot reach the entry hosts of a zone. */
    CUT_ZONE(Target.LINK),
    /** The log refuses every request. */
    LOG_REFUSES(Target.LOG),
    /** The log answers no request. */
    LOG_SILENT(Target.LOG),
    /** Every request to the log takes a second longer. */
    LOG_SLOW(Target.LOG),
    /** The answers to the next appends are lost, and operators send tickets. */
    LOG_LOSES_ANSWERS(Target.LOG),
    /** A backend server dies and comes back. */
    SERVER_DIES(Target.SERVER),
    /** A backend server freezes and goes on. */
    SERVER_FREEZES(Target.SERVER),
    /** A backend server fails everything. */
    SERVER_FAILS(Target.SERVER),
    /** A ticket says that a backend server is leaving, and at the end one puts it in service again. */
    SERVER_LEAVES_BY_TICKET(Target.SERVER),
    /** The host list says that a backend server is leaving; it does not return. */
    SERVER_LEAVES_BY_LIST(Target.SERVER),
    /** A backend server says that it is leaving; it does not return. */
    SERVER_LEAVES_BY_ANSWER(Target.SERVER),
    /** Background work of 10 times the usual amount arrives. */
    FLOOD(Target.LOAD),
    /** Callers cancel all jobs that run. */
    CANCELLATIONS(Target.LOAD),
    /** Operators race one ticket number through every host. */
    TICKET_RACE(Target.LOAD);

    /** What a fault acts on; two faults at a time never act on the same object. */
    public enum Target {
        /** The process of an entry host. */
        HOST,
        /** The links of an entry host or zone. */
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

    /** Returns what the fault acts on. */
    public Target target() {
        return target;
    }

    /** Returns whether the backend server stays out of service. */
    boolean lasting() {
        return this == SERVER_LEAVES_BY_LIST || this == SERVER_LEAVES_BY_ANSWER;
    }
}
