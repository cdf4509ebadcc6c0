package org.banyanspoke.daemon.control.internal;

import com.google.protobuf.ByteString;
import java.util.Optional;

/**
 * Reassembles one archive from its parts. Parts arrive in order; part 0 restarts the assembly after a failed transfer.
 */
final class ArchiveAssembly {
    private ByteString content = ByteString.EMPTY;
    private int nextPart;

    /**
     * Adds a part.
     *
     * @return the complete archive after the last part
     * @throws IllegalArgumentException if a part is missing
     */
    Optional<ByteString> add(int part, int parts, ByteString bytes) {
        if (part == 0) {
            content = ByteString.EMPTY;
            nextPart = 0;
        }
        if (part != nextPart) {
            throw new IllegalArgumentException("archive part " + part + " received, part " + nextPart + " expected");
        }
        content = content.concat(bytes);
        nextPart++;
        return nextPart == parts ? Optional.of(content) : Optional.empty();
    }
}
