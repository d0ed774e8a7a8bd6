package whinlead.mesh.consensus;

import java.util.ArrayList;
import java.util.List;

/**
 * The complete state agreed on in one slot: a node that has the newest decision needs none of the earlier ones. It
 * lists the versions applied recently, newest last, so that a repeated call finds its own.
 *
 * @param slot counts decisions; 0 is the founding decision
 * @param version of the configuration; 0 before the first one
 * @param body the configuration as it was sent, deflated
 * @param voters ids of the control nodes that vote on the next slot
 */
public record Decision(long slot, long version, byte[] body, List<Taken> taken, List<String> voters) {
    /** How many versions are remembered; for an older one it is unknown whether it was applied. */
    public static final int MAX_TAKEN = 256;

    /** A version and the digest of the configuration sent under it. */
    public record Taken(long version, String digest) {}

    /** Copies the lists. */
    public Decision {
        taken = List.copyOf(taken);
        voters = List.copyOf(voters);
    }

    /** The decision with which the first control nodes start. */
    public static Decision founding(List<String> voters) {
        return new Decision(0, 0, new byte[0], List.of(), voters);
    }

    /** The next decision, with another configuration. */
    public Decision with(long newVersion, String digest, byte[] newBody) {
        List<Taken> versions = new ArrayList<>(taken);
        versions.add(new Taken(newVersion, digest));
        return new Decision(
                slot + 1,
                newVersion,
                newBody,
                versions.subList(Math.max(0, versions.size() - MAX_TAKEN), versions.size()),
                voters);
    }

    /** The next decision, with other voters. */
    public Decision with(List<String> newVoters) {
        return new Decision(slot + 1, version, body, taken, newVoters);
    }

    /** Whether exactly this configuration was applied under this version. */
    public boolean has(long otherVersion, String digest) {
        return taken.contains(new Taken(otherVersion, digest));
    }

    /** Whether a version missing from the remembered ones was certainly never applied; versions only increase. */
    public boolean coversVersion(long otherVersion) {
        return taken.size() < MAX_TAKEN || otherVersion >= taken.get(0).version();
    }

    /** This decision without the parts that only control nodes need. */
    public Decision forSidecars() {
        return new Decision(slot, version, body, List.of(), voters);
    }

    /** The size of a quorum: more than half of the voters. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Decision other
                && other.slot == slot
                && other.version == version
                && other.taken.equals(taken)
                && other.voters.equals(voters)
                && java.util.Arrays.equals(other.body, body);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(slot);
    }
}
