package whinlead.mesh.consensus;

import java.util.ArrayList;
import java.util.List;

/** A change of one voter. It names no slot: it is applied to the newest decision as it is proposed. */
sealed interface VoterChange {
    /** The voters after it, in the order of those before. */
    List<String> applyTo(List<String> voters);

    /** Gives a learner a vote beside the others. */
    record Add(String learner) implements VoterChange {
        @Override
        public List<String> applyTo(List<String> voters) {
            List<String> changed = new ArrayList<>(voters);
            changed.add(learner);
            return changed;
        }
    }

    /** Gives a learner the vote of another. */
    record Exchange(String voter, String learner) implements VoterChange {
        @Override
        public List<String> applyTo(List<String> voters) {
            return voters.stream()
                    .map(each -> each.equals(voter) ? learner : each)
                    .toList();
        }
    }

    /** Takes a vote away. */
    record Remove(String voter) implements VoterChange {
        @Override
        public List<String> applyTo(List<String> voters) {
            return voters.stream().filter(each -> !each.equals(voter)).toList();
        }
    }
}
