package whinlead.replication;

/** The group's reply to a {@link Command}. */
public sealed interface Reply {
    /**
     * The attempt may be sent, once.
     *
     * @param index of the attempt among the request's attempts; the caller reports its outcome under this index
     */
    record Granted(int index) implements Reply {}

    /** Another attempt was granted and may have run, or this one was withdrawn. */
    record Out() implements Reply {}

    /** The request has ended in this way, which is final. */
    record Over(Command.Ending ending) implements Reply {}

    /** The command arrived too late by the group's time. */
    record Late() implements Reply {}

    /** The group's or the caller's limit of requests is reached. */
    record Full() implements Reply {}

    /** The endpoint is draining and accepts no new requests. */
    record Drains() implements Reply {}

    /** Nothing prevents an attempt. */
    record Free() implements Reply {}

    /** Acknowledged; the command may have had no effect. */
    record Noted() implements Reply {}
}
