package whinlead.mesh.sidecar;

import whinlead.mesh.consensus.Decision;

/**
 * Chooses the first configuration of a sidecar. An isolated control node may know only an old one. So the configuration
 * from a control node in contact with a majority is adopted at once, and any other only after a time in which no such
 * node has answered: the newest reachable configuration is better than none. Pure; used by one thread; times in
 * milliseconds.
 */
final class StartupConfig {
    /** How long a control node in contact with a majority is awaited, from the first answer of any control node on. */
    static final double CONFIRMATION_WAIT_MS = 2000;

    private Decision candidate;
    private double firstOfferMs = Double.NaN;

    /**
     * Handles a configuration from a control node.
     *
     * @param confirmed whether the control node is in contact with a majority
     * @return the configuration to adopt, or null to keep waiting
     */
    Decision offer(double nowMs, Decision decision, boolean confirmed) {
        if (Double.isNaN(firstOfferMs)) {
            firstOfferMs = nowMs;
        }
        if (candidate == null || decision.slot() > candidate.slot()) {
            candidate = decision;
        }
        return confirmed ? candidate : candidateAfterWait(nowMs);
    }

    /** The configuration to adopt if no better one is known after the wait, or null to keep waiting. */
    Decision candidateAfterWait(double nowMs) {
        return nowMs - firstOfferMs > CONFIRMATION_WAIT_MS ? candidate : null;
    }

    /** Whether a configuration was offered that is not adopted yet. */
    boolean hasCandidate() {
        return candidate != null;
    }
}
