package org.banyanspoke.api.config;

/**
 * Guaranteed share of the slots for each class, in percent. The sum is 100.
 *
 * @param urgentPercent share of {@link UrgencyClass#URGENT}
 * @param normalPercent share of {@link UrgencyClass#NORMAL}
 * @param backgroundPercent share of {@link UrgencyClass#BACKGROUND}
 */
public record ClassShares(int urgentPercent, int normalPercent, int backgroundPercent) {
    /** Used until a ticket sets other shares. */
    public static final ClassShares DEFAULT = new ClassShares(50, 30, 20);

    /** Returns the share of a class in percent. */
    public int percent(UrgencyClass urgency) {
        return switch (urgency) {
            case URGENT -> urgentPercent;
            case NORMAL -> normalPercent;
            case BACKGROUND -> backgroundPercent;
        };
    }
}
