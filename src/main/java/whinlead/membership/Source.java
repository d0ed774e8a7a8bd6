package whinlead.membership;

/** A source of the list of endpoints, which feeds a {@link Membership}. */
@FunctionalInterface
public interface Source {
    /** Starts to watch the list, unless it is already watched. */
    void watch();
}
