package whinlead.mesh.consensus;

import java.util.ArrayList;
import java.util.List;

/** A change of one voter. It names no slot: it is applied to the newest decision when it is proposed. */
sealed interface VoterChange {
    /** The voters after the change, in their previous order. */
    List<String> applyTo(List<String> voters);

    /** Adds a learner as a voter. */
    record Add(String learner) implements VoterChange {
        @Override
        public List<String> applyTo(List<String> voters) {
            List<String> changed = new ArrayList<>(voters);
            changed.add(learner);
            return changed;
        }
    }

    /** Replaces a voter by a learner. */
    record Exchange(String voter, String learner) implements VoterChange {
        @Override
        public List<String> applyTo(List<String> voters) {
            return voters.stream()
                    .map(other -> other.equals(voter) ? learner : other)
                    .toList();
        }
    }

    /** Removes a voter. */
    record Remove(String voter) implements VoterChange {
        @Override
        public List<String> applyTo(List<String> voters) {
            return voters.stream().filter(other -> !other.equals(voter)).toList();
        }
    }
}
