package org.banyanspoke.peer;

/** Filters frames. Tests use it to simulate network partitions; a rejected frame is dropped silently. */
@FunctionalInterface
public interface FrameFilter {
    /** Accepts all frames. */
    FrameFilter NONE = (direction, address) -> true;

    /** Direction of a frame relative to this process. */
    enum Direction {
        /** Sent by this process. */
        OUTBOUND,
        /** Received by this process. */
        INBOUND
    }

    /**
     * Returns whether to process a frame rather than drop it. Called on the event loop.
     *
     * @param direction direction of the frame
     * @param address the peer's listen address, {@code ip:port}
     */
    boolean passes(Direction direction, String address);
}
