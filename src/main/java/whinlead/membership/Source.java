package whinlead.membership;

/** A source of the list of endpoints, which feeds a {@link Membership}. */
@FunctionalInterface
public interface Source {
    /** Begins to watch the list, unless it does so already. */
    void watch();
}
