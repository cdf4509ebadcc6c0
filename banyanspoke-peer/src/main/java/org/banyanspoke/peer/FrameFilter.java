package org.banyanspoke.peer;

/** Decides which frames pass. Tests use it to cut peers off; a frame that does not pass is lost without notice. */
@FunctionalInterface
public interface FrameFilter {
    /** Lets every frame pass. */
    FrameFilter NONE = (direction, address) -> true;

    /** Direction of a frame as seen by this process. */
    enum Direction {
        /** From this process. */
        OUTBOUND,
        /** To this process. */
        INBOUND
    }

    /**
     * Returns whether a frame passes. Called on the event loop.
     *
     * @param direction direction of the frame
     * @param address the peer's own address; empty until its first frame on an accepted connection has come
     */
    boolean passes(Direction direction, String address);
}
