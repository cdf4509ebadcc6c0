package org.banyanspoke.daemon.platform;

/** Thrown when the log no longer retains the requested records. */
public final class RecordsExpiredException extends PlatformException {
    private static final long serialVersionUID = 1L;

    private final long firstOffset;

    /**
     * @param firstOffset offset of the oldest retained record
     */
    public RecordsExpiredException(long firstOffset) {
        super("requested records have expired; oldest retained offset is " + firstOffset, false, null);
        this.firstOffset = firstOffset;
    }

    /** Returns the offset of the oldest retained record. */
    public long firstOffset() {
        return firstOffset;
    }
}
