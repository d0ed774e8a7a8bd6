package whinlead.mesh.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * What the control nodes agreed on in one slot, whole: whoever has the newest needs none before it.
 *
 * @param slot counts decisions; 0 is what the first control nodes were founded with
 * @param version of the configuration; 0 before the first one
 * @param body the configuration as it was sent, deflated
 * @param taken versions lately taken, newest last, so that a call repeated finds its own
 * @param voters ids of the control nodes that vote on the next slot
 */
public record Decision(long slot, long version, byte[] body, List<Taken> taken, List<String> voters) {
    /** How many versions are remembered; of one before them nobody can tell any more whether it was taken. */
    public static final int MAX_TAKEN = 256;

    /** A version and the digest of what was sent under it. */
    public record Taken(long version, String digest) {}

    /** Copies the lists. */
    public Decision {
        taken = List.copyOf(taken);
        voters = List.copyOf(voters);
    }

    /** What the first control nodes start from. */
    public static Decision founding(List<String> voters) {
        return new Decision(0, 0, new byte[0], List.of(), voters);
    }

    /** The next one, with another configuration. */
    public Decision with(long newVersion, String digest, byte[] newBody) {
        List<Taken> list = new ArrayList<>(taken);
        list.add(new Taken(newVersion, digest));
        return new Decision(
                slot + 1, newVersion, newBody, list.subList(Math.max(0, list.size() - MAX_TAKEN), list.size()), voters);
    }

    /** The next one, with other voters. */
    public Decision with(List<String> newVoters) {
        return new Decision(slot + 1, version, body, taken, newVoters);
    }

    /** Whether exactly this was taken under this version. */
    public boolean has(long aVersion, String digest) {
        return taken.contains(new Taken(aVersion, digest));
    }

    /** Whether what is not {@link #taken} under this version surely never was: versions only rise. */
    public boolean remembers(long aVersion) {
        return taken.size() < MAX_TAKEN || aVersion >= taken.get(0).version();
    }

    /** Without what only those that decide need. */
    public Decision forSidecars() {
        return new Decision(slot, version, body, List.of(), voters);
    }

    /** How many voters are a quorum: more than half. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Decision d
                && d.slot == slot
                && d.version == version
                && d.taken.equals(taken)
                && d.voters.equals(voters)
                && java.util.Arrays.equals(d.body, body);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(slot);
    }
}
