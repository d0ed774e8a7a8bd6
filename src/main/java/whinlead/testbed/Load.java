package whinlead.testbed;

/**
 * Open-loop arrivals of one class: their times are drawn ahead and wait for no answer.
 *
 * @param classIndex position of the class in the settings
 * @param perSecond arrivals a second, by the time since the run began (milliseconds); at most {@code most}
 * @param most the highest that {@code perSecond} gives
 * @param habit what the clients do when they get no answer of an endpoint
 */
public record Load(int classIndex, Rate perSecond, double most, Habit habit) {
    /** A rate that changes in time. */
    @FunctionalInterface
    public interface Rate {
        /** Requests a second at this time. */
        double at(double now);
    }

    /** The same rate throughout. */
    public static Load steady(int classIndex, double perSecond, Habit habit) {
        return new Load(classIndex, now -> perSecond, perSecond, habit);
    }
}
