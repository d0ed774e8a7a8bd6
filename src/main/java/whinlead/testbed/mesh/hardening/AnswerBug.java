package whinlead.testbed.mesh.hardening;

/** A fault planted in {@link AnswerPlay} to verify that its checks detect it. */
public enum AnswerBug {
    /** None. */
    NONE,
    /** MIXED: the failure sent in place of a damaged answer carries that answer's headers, including its seal. */
    PASSES_HEADERS_OF_SPOILT_ANSWERS,
    /** MIXED: a reset is reported as an orderly close, so that a truncated answer passes for a complete one. */
    TAKES_RESET_FOR_END,
    /** LOST: an endpoint that is silent for a while is abandoned before the deadline. */
    GIVES_UP_ON_SILENCE,
    /** LOST: a new configuration reconnects to the other sidecars. */
    RECONNECTS_ON_CONFIGURATION,
    /** LOST: the process exits immediately on SIGTERM. */
    ENDS_ON_SIGTERM
}
