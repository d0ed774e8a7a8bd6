package whinlead.mesh.wire;

/**
 * The versions of the peer protocol that a program supports. Both sides of a connection send theirs in
 * {@link PeerMessage.Hello}; the connection uses the lower of the two newest versions.
 *
 * @param newest the newest version that the program supports
 * @param oldest the oldest version that the program still supports
 */
public record ProtocolVersion(int newest, int oldest) {
    /** The version of programs whose greeting contains no version. */
    public static final int UNVERSIONED = 1;
    /** Greetings contain versions; unknown kinds and fields are ignored; requests can be cancelled. */
    public static final int TOLERANT = 2;
    /** Tenants' limits are leased. */
    public static final int LEASES = 3;
    /** Keys of sharded services are leased, by the control node that holds that duty. */
    public static final int KEYS = 4;
    /** Long request bodies are sent in parts, as the receiver grants credit for them. */
    public static final int BODY_PARTS = 5;
    /** Control nodes store departures of endpoints. */
    public static final int DEPARTURES = 6;
    /** The versions of this program. */
    public static final ProtocolVersion SUPPORTED = new ProtocolVersion(DEPARTURES, UNVERSIONED);
    /** The versions of a program whose greeting contains none. */
    public static final ProtocolVersion UNNAMED = new ProtocolVersion(UNVERSIONED, UNVERSIONED);

    /** Checks that the range contains at least one version. */
    public ProtocolVersion {
        if (oldest < UNVERSIONED || newest < oldest) {
            throw new IllegalArgumentException("invalid protocol versions from " + oldest + " to " + newest);
        }
    }

    /** Whether both support a common version. */
    public boolean overlaps(ProtocolVersion other) {
        return oldest <= other.newest && other.oldest <= newest;
    }

    /** The version that two programs with a common one use between them. */
    public int negotiate(ProtocolVersion other) {
        return Math.min(newest, other.newest);
    }

    @Override
    public String toString() {
        return oldest + " to " + newest;
    }
}
