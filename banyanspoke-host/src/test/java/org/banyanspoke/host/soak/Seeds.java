package org.banyanspoke.host.soak;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/** Parses lists of seeds. */
final class Seeds {
    private Seeds() {}

    /** Parses seeds and ranges, for instance {@code 1,2,7-9}. */
    static List<Long> parse(String text) {
        return Arrays.stream(text.split(",")).flatMap(Seeds::range).toList();
    }

    private static Stream<Long> range(String text) {
        String[] ends = text.split("-");
        return Stream.iterate(
                Long.valueOf(ends[0]), seed -> seed <= Long.parseLong(ends[ends.length - 1]), seed -> seed + 1);
    }
}
