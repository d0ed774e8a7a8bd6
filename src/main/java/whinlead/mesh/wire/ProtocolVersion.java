package whinlead.mesh.wire;

/**
 * The versions of the peer protocol that one program speaks. Both sides of a connection say theirs in
 * {@link PeerMessage.Hello}; the connection speaks the lower of both newest ones.
 *
 * @param newest the newest one that it speaks
 * @param oldest the oldest one that it still speaks
 */
public record ProtocolVersion(int newest, int oldest) {
    /** Spoken by programs whose greeting names no version. */
    public static final int UNVERSIONED = 1;
    /** Greetings carry versions; unknown kinds and fields are passed over; requests can be cancelled. */
    public static final int TOLERANT = 2;
    /** Tenants' limits are leased. */
    public static final int LEASES = 3;
    /** Keys of divided services are leased, by the control node that holds that duty. */
    public static final int KEYS = 4;
    /** What this program speaks. */
    public static final ProtocolVersion OURS = new ProtocolVersion(KEYS, UNVERSIONED);
    /** What a program speaks whose greeting names no version. */
    public static final ProtocolVersion NONE_NAMED = new ProtocolVersion(UNVERSIONED, UNVERSIONED);

    /** Checks that the range holds at least one version. */
    public ProtocolVersion {
        if (oldest < UNVERSIONED || newest < oldest) {
            throw new IllegalArgumentException("protocol versions from " + oldest + " to " + newest);
        }
    }

    /** Whether some version is spoken by both. */
    public boolean sharesOneWith(ProtocolVersion other) {
        return oldest <= other.newest && other.oldest <= newest;
    }

    /** The version that two programs with a shared one speak to each other. */
    public int agreedWith(ProtocolVersion other) {
        return Math.min(newest, other.newest);
    }

    @Override
    public String toString() {
        return oldest + " to " + newest;
    }
}
