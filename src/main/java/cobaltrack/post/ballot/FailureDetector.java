package cobaltrack.post.ballot;

import java.util.Collection;
import java.util.List;

/**
 * Decides which voters have failed: the only place that says who is silent. A voter is silent once it has
 * answered no question of this office for a time in which this office itself was running. Not safe for
 * several threads; times in milliseconds on this office's steady clock.
 */
final class FailureDetector {
    /** A voter that has answered nothing for so many milliseconds may lose its vote. */
    private static final double SILENCE_LIMIT = 2500;

    private final String self;
    private final Contact contact;

    /**
     * A detector.
     *
     * @param self the id of this office, which is never silent
     * @param contact whose questions were answered when
     */
    FailureDetector(String self, Contact contact) {
        this.self = self;
        this.contact = contact;
    }

    /** Those of the voters that are silent, in the order given. */
    List<String> silent(double now, Collection<String> voters) {
        return voters.stream().filter(voter -> isSilent(now, voter)).toList();
    }

    private boolean isSilent(double now, String voter) {
        return !voter.equals(self) && contact.silence(now, voter) > SILENCE_LIMIT;
    }
}
