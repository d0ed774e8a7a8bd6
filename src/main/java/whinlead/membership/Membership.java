package whinlead.membership;

import whinlead.Contract;

/** Receives the lists of a source; called on the loop that owns the engine. */
public interface Membership {
    /** A full list or changes were received. */
    void listReceived(Contract.ListKind kind, EndpointList list);

    /** The source is unreachable or sent a malformed list: the last known list stays in use. */
    void sourceUnreachable();
}
