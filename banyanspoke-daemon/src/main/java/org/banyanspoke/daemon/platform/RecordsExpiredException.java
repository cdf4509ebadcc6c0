package org.banyanspoke.daemon.platform;

/** The log no longer keeps the requested records. */
public final class RecordsExpiredException extends PlatformException {
    private static final long serialVersionUID = 1L;

    private final long firstOffset;

    /**
     * @param firstOffset offset of the oldest kept record
     */
    public RecordsExpiredException(long firstOffset) {
        super("the log keeps records from offset " + firstOffset + " on", false, null);
        this.firstOffset = firstOffset;
    }

    /** Returns the offset of the oldest kept record. */
    public long firstOffset() {
        return firstOffset;
    }
}
