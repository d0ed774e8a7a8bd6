package whinlead.mesh.consensus;

import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Decides which voters have failed: the only place that says who is silent and who may lose its vote for it. A voter is
 * silent once it has answered no question of this control node for a time in which this control node itself was
 * running. It has failed once a majority of the voters says so too ({@link SuspicionTracker}): silence for one observer
 * may be a cut between these two. Not safe for several threads; times in milliseconds on this control node's steady
 * clock.
 */
final class FailureDetector {
    /** A voter that has answered nothing for so many milliseconds may lose its vote. */
    private static final double SILENCE_LIMIT = 2500;
    /** A voter whose answered question left so many milliseconds ago may be out of reach now. */
    private static final double CONTACT_LIMIT = 1000;

    private final String self;
    private final ContactTracker contact;
    private final SuspicionTracker suspicions;

    /**
     * A detector.
     *
     * @param self the id of this control node, which is never silent
     * @param contact whose questions were answered when
     */
    FailureDetector(String self, ContactTracker contact) {
        this.self = self;
        this.contact = contact;
        this.suspicions = new SuspicionTracker(self);
    }

    /** From now on these are the voters. */
    void retain(Collection<String> voters) {
        suspicions.retain(voters);
    }

    /** Those of the voters that this control node and a majority with it find silent, in the order given. */
    List<String> failed(double now, Collection<String> voters) {
        return voters.stream()
                .filter(voter -> isSilent(now, voter) && suspicions.removable(now, voter))
                .toList();
    }

    /** The question to put to all voters that are not silent, or null where none is due. */
    SuspicionTracker.Question question(double now, Collection<String> voters, LongSupplier nonces) {
        return suspicions.due(now, silent(now, voters), nonces);
    }

    /** The voters that can be asked for an opinion: not this control node, nor any that is silent for it. */
    List<String> witnesses(double now, Collection<String> voters) {
        return voters.stream()
                .filter(voter -> !voter.equals(self) && !isSilent(now, voter))
                .toList();
    }

    /** A voter gave its opinions. */
    void answered(double now, String voter, Message.State state) {
        suspicions.answered(now, voter, state.nonce(), state.opinions());
    }

    /** What this control node can tell another one of these suspects. */
    List<Message.Opinion> opinions(double now, Collection<String> suspects) {
        return suspects.stream()
                .map(suspect -> new Message.Opinion(suspect, reachability(now, suspect)))
                .toList();
    }

    private Message.Reachability reachability(double now, String voter) {
        if (contact.reached(now, CONTACT_LIMIT, voter)) {
            return Message.Reachability.REACHED;
        }
        return isSilent(now, voter) ? Message.Reachability.SILENT : Message.Reachability.UNSURE;
    }

    private List<String> silent(double now, Collection<String> voters) {
        return voters.stream().filter(voter -> isSilent(now, voter)).toList();
    }

    private boolean isSilent(double now, String voter) {
        return !voter.equals(self) && contact.silence(now, voter) > SILENCE_LIMIT;
    }
}
