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
public record Decision(
        long slot, long version, byte[] body, List<AppliedVersion> appliedVersions, List<String> voters) {
    /** How many versions are remembered; for an older one it is unknown whether it was applied. */
    public static final int MAX_APPLIED_VERSIONS = 256;

    /** A version and the digest of the configuration sent under it. */
    public record AppliedVersion(long version, String digest) {}

    /** Copies the lists. */
    public Decision {
        appliedVersions = List.copyOf(appliedVersions);
        voters = List.copyOf(voters);
    }

    /** The decision with which the first control nodes start. */
    public static Decision founding(List<String> voters) {
        return new Decision(0, 0, new byte[0], List.of(), voters);
    }

    /** The next decision, with another configuration. */
    public Decision successor(long newVersion, String digest, byte[] newBody) {
        List<AppliedVersion> versions = new ArrayList<>(appliedVersions);
        versions.add(new AppliedVersion(newVersion, digest));
        return new Decision(
                slot + 1,
                newVersion,
                newBody,
                versions.subList(Math.max(0, versions.size() - MAX_APPLIED_VERSIONS), versions.size()),
                voters);
    }

    /** The next decision, with other voters. */
    public Decision successor(List<String> newVoters) {
        return new Decision(slot + 1, version, body, appliedVersions, newVoters);
    }

    /** Whether exactly this configuration was applied under this version. */
    public boolean isApplied(long otherVersion, String digest) {
        return appliedVersions.contains(new AppliedVersion(otherVersion, digest));
    }

    /** Whether a version missing from the remembered ones was certainly never applied; versions only increase. */
    public boolean coversVersion(long otherVersion) {
        return appliedVersions.size() < MAX_APPLIED_VERSIONS
                || otherVersion >= appliedVersions.get(0).version();
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
                && other.appliedVersions.equals(appliedVersions)
                && other.voters.equals(voters)
                && java.util.Arrays.equals(other.body, body);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(slot);
    }
}
