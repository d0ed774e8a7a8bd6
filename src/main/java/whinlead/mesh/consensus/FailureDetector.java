package whinlead.mesh.consensus;

import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Decides which voters have failed; no other class decides which voter is silent or may lose its vote for silence. A
 * voter is silent once it has answered no ping of this control node for a time in which this control node itself was
 * running. It has failed once a majority of the voters confirms this ({@link SuspicionTracker}), because silence
 * towards one observer may be a network cut between the two. Not safe for several threads; times in milliseconds on
 * this control node's steady clock.
 */
final class FailureDetector {
    /** A voter that has answered nothing for this long is silent and may lose its vote, in milliseconds. */
    private static final double SILENCE_LIMIT_MS = 2500;
    /** Contact with a voter is in doubt if its last answered ping was sent this long ago, in milliseconds. */
    private static final double CONTACT_LIMIT_MS = 1000;

    private final String self;
    private final ContactTracker contact;
    private final SuspicionTracker suspicions;

    /**
     * Creates a detector.
     *
     * @param self the id of this control node, which is never silent
     * @param contact when each voter last answered
     */
    FailureDetector(String self, ContactTracker contact) {
        this.self = self;
        this.contact = contact;
        this.suspicions = new SuspicionTracker(self);
    }

    /** Replaces the set of voters. */
    void retain(Collection<String> voters) {
        suspicions.retain(voters);
    }

    /** The voters that this control node and a majority including it find silent, in the given order. */
    List<String> failed(double nowMs, Collection<String> voters) {
        return voters.stream()
                .filter(voter -> isSilent(nowMs, voter) && suspicions.isRemovable(nowMs, voter))
                .toList();
    }

    /** The question to send to all voters that are not silent, or null if none is due. */
    SuspicionTracker.Question question(double nowMs, Collection<String> voters, LongSupplier nonces) {
        return suspicions.dueQuestion(nowMs, silent(nowMs, voters), nonces);
    }

    /** The voters that can be asked for an opinion: all but this control node and those silent towards it. */
    List<String> witnesses(double nowMs, Collection<String> voters) {
        return voters.stream()
                .filter(voter -> !voter.equals(self) && !isSilent(nowMs, voter))
                .toList();
    }

    /** A voter sent its opinions. */
    void opinionsReceived(double nowMs, String voter, Message.State state) {
        suspicions.opinionsReceived(nowMs, voter, state.nonce(), state.opinions());
    }

    /** This control node's opinions on the suspects of another one. */
    List<Message.Opinion> opinions(double nowMs, Collection<String> suspects) {
        return suspects.stream()
                .map(suspect -> new Message.Opinion(suspect, reachability(nowMs, suspect)))
                .toList();
    }

    private Message.Reachability reachability(double nowMs, String voter) {
        if (contact.hasContact(nowMs, CONTACT_LIMIT_MS, voter)) {
            return Message.Reachability.REACHED;
        }
        return isSilent(nowMs, voter) ? Message.Reachability.SILENT : Message.Reachability.UNSURE;
    }

    private List<String> silent(double nowMs, Collection<String> voters) {
        return voters.stream().filter(voter -> isSilent(nowMs, voter)).toList();
    }

    private boolean isSilent(double nowMs, String voter) {
        return !voter.equals(self) && contact.silenceMs(nowMs, voter) > SILENCE_LIMIT_MS;
    }
}
