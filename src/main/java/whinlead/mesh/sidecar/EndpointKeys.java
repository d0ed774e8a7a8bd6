package whinlead.mesh.sidecar;

import java.util.function.DoubleUnaryOperator;
import whinlead.mesh.keys.GrantCall;
import whinlead.mesh.keys.ReleaseCall;

/** The endpoint beside this sidecar, as far as its keys go. On the loop's thread. */
public interface EndpointKeys {
    /** What became of a grant. */
    interface GrantListener {
        /** The endpoint holds the keys for so long from when this was written. */
        void granted(double writtenAt, double holdMs);

        /** The endpoint has seen a higher fence. */
        void refused();

        /** Nothing is known. */
        void failed();
    }

    /** What became of a release. */
    interface ReleaseListener {
        /** Nothing runs on these keys any more; {@code handoff} is empty where the endpoint gave none. */
        void released(String handoff);

        /** Nothing is known. */
        void failed();
    }

    /**
     * Grants keys.
     *
     * @param holdMs gives, for the time at which it is written, how long the grant may last; 0 if it must not be
     *     written
     */
    void grant(GrantCall call, DoubleUnaryOperator holdMs, GrantListener listener);

    /** Takes keys back. */
    void release(ReleaseCall call, ReleaseListener listener);

    /** Another endpoint is there: calls to the one before are over, and their outcome is of no use. */
    void clear();
}
