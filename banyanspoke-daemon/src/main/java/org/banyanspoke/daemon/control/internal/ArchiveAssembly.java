package org.banyanspoke.daemon.control.internal;

import com.google.protobuf.ByteString;
import java.util.Optional;

/** Joins the parts of one archive. Parts come in order; part 0 starts anew, as after a failed transfer. */
final class ArchiveAssembly {
    private ByteString content = ByteString.EMPTY;
    private int nextPart;

    /**
     * Adds a part.
     *
     * @return the whole archive after the last part
     * @throws IllegalArgumentException if a part is missing
     */
    Optional<ByteString> add(int part, int parts, ByteString bytes) {
        if (part == 0) {
            content = ByteString.EMPTY;
            nextPart = 0;
        }
        if (part != nextPart) {
            throw new IllegalArgumentException("part " + part + " came and part " + nextPart + " was expected");
        }
        content = content.concat(bytes);
        nextPart++;
        return nextPart == parts ? Optional.of(content) : Optional.empty();
    }
}
