package whinlead.membership;

import whinlead.Contract;

/** What a source of the list feeds; called on the loop that owns the engine. */
public interface Membership {
    /** A list has come, or changes of it. */
    void list(Contract.ListKind kind, EndpointList list);

    /** The source can't be asked, or told nonsense: the list as last known stands. */
    void outOfReach();
}
