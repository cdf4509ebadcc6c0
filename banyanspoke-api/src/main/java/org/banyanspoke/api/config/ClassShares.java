package org.banyanspoke.api.config;

/**
 * Guaranteed share of the slots for each urgency class, in percent. The shares add up to 100.
 *
 * @param urgentPercent share of {@link UrgencyClass#URGENT}
 * @param normalPercent share of {@link UrgencyClass#NORMAL}
 * @param backgroundPercent share of {@link UrgencyClass#BACKGROUND}
 */
public record ClassShares(int urgentPercent, int normalPercent, int backgroundPercent) {
    /** Shares that apply until a change ticket sets others. */
    public static final ClassShares DEFAULT = new ClassShares(50, 30, 20);

    /** Returns the guaranteed share of an urgency class, in percent. */
    public int percent(UrgencyClass urgency) {
        return switch (urgency) {
            case URGENT -> urgentPercent;
            case NORMAL -> normalPercent;
            case BACKGROUND -> backgroundPercent;
        };
    }
}
