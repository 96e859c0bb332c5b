package org.acaciaport.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Static methods that shorten ascending lists of occurrences for the log: a range of three or more is its first number,
 * followed by the negated last one. So the record of a recurring job grows with its open occurrences, not with all.
 *
 * <p>Thread-safe. A list without ranges, as earlier builds wrote it, expands to itself.
 */
final class OccurrenceRanges {
    /** Largest number of an occurrence that is accepted; it bounds what a short list expands to. */
    private static final int MAX_OCCURRENCE = 1_000_000;

    private static final int MIN_RANGE_LENGTH = 3;

    private OccurrenceRanges() {}

    /** Returns the short form of {@code occurrences}, which are ascending and not negative. */
    static List<Integer> compact(List<Integer> occurrences) {
        List<Integer> compact = new ArrayList<>();
        int i = 0;
        while (i < occurrences.size()) {
            int first = occurrences.get(i);
            int length = 1;
            while (i + length < occurrences.size() && occurrences.get(i + length) == first + length) {
                length++;
            }
            int taken = length < MIN_RANGE_LENGTH ? 1 : length;
            compact.add(first);
            if (taken > 1) {
                compact.add(-(first + taken - 1));
            }
            i += taken;
        }
        return compact;
    }

    /**
     * Returns the occurrences whose short form is {@code compact}.
     *
     * @throws IOException if it is no short form
     */
    static List<Integer> expand(List<Integer> compact) throws IOException {
        List<Integer> occurrences = new ArrayList<>();
        for (Integer number : compact) {
            if (number == null || number > MAX_OCCURRENCE || number < -MAX_OCCURRENCE) {
                throw new IOException("occurrence " + number + " is not 0 to " + MAX_OCCURRENCE);
            }
            if (number >= 0) {
                occurrences.add(number);
                continue;
            }
            if (occurrences.isEmpty() || -number <= occurrences.getLast()) {
                throw new IOException("a range of occurrences ends at " + -number + ", before its beginning");
            }
            for (int next = occurrences.getLast() + 1; next <= -number; next++) {
                occurrences.add(next);
            }
        }
        return occurrences;
    }
}
