package whinlead.replication;

/** What a group has agreed on as the answer to a {@link Command}. */
public sealed interface Reply {
    /**
     * The attempt may go out, once.
     *
     * @param index its place among the request's attempts, by which its caller reports of it
     */
    record Granted(int index) implements Reply {}

    /** Another attempt is out and may have run, or this one was taken back. */
    record Out() implements Reply {}

    /** The request is over, in this way and no other. */
    record Over(Command.Ending ending) implements Reply {}

    /** It came too late, by the group's time. */
    record Late() implements Reply {}

    /** The group, or this caller, holds as many as it may. */
    record Full() implements Reply {}

    /** The endpoint takes nothing new. */
    record Drains() implements Reply {}

    /** Nothing stands against an attempt. */
    record Free() implements Reply {}

    /** Done, or without effect. */
    record Noted() implements Reply {}
}
