package whinlead.testbed.mesh.hardening;

/** A fault that is planted in {@link AnswerPlay}, to see that it is found. */
public enum AnswerBug {
    /** None. */
    NONE,
    /** MIXED: the failure that stands for a spoilt answer has that answer's headers, its seal among them. */
    PASSES_HEADERS_OF_SPOILT_ANSWERS,
    /** MIXED: a reset is told as an orderly close, so that what it cut off passes for whole. */
    TAKES_RESET_FOR_END,
    /** LOST: an endpoint that says nothing for a while is given up before the deadline. */
    GIVES_UP_ON_SILENCE,
    /** LOST: a configuration has the ways to other sidecars made anew. */
    RECONNECTS_ON_CONFIGURATION,
    /** LOST: on SIGTERM the process ends at once. */
    ENDS_ON_SIGTERM
}
