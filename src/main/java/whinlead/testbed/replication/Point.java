package whinlead.testbed.replication;

/** A step in the life of a request at the member that was asked, right after which its process may be killed. */
public enum Point {
    /** It has been asked, and has asked nobody yet. */
    TAKEN,
    /** It has asked the group whether an attempt may go out. */
    ASKED,
    /** The group has agreed, and nobody has been told. */
    COPIED,
    /** Its caller is told to send. */
    ANSWERED,
    /** The attempt has run; its caller has not reported yet. */
    SENT,
    /** Its caller has reported, and the group has not been told of the end. */
    REPORTED,
    /** The group has been told of the end, and has not agreed yet. */
    ENDING,
    /** The group has agreed on the end, and its caller has not been told. */
    ENDED,
    /** Its caller is told of the end. */
    TOLD
}
