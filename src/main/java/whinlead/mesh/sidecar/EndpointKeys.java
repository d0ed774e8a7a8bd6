package whinlead.mesh.sidecar;

import java.util.function.DoubleUnaryOperator;
import whinlead.mesh.keys.GrantCall;
import whinlead.mesh.keys.ReleaseCall;

/** Grants keys to the endpoint beside this sidecar and takes them back. Runs on the loop's thread. */
public interface EndpointKeys {
    /** Receives the result of a grant. */
    interface GrantListener {
        /** The endpoint owns the keys for {@code holdMs} from the time at which the call was written. */
        void granted(double writtenAtMs, double holdMs);

        /** The endpoint has seen a higher fence. */
        void refused();

        /** The result is unknown. */
        void failed();
    }

    /** Receives the result of a release. */
    interface ReleaseListener {
        /** No request with these keys is running any more; {@code handoff} is empty if the endpoint gave none. */
        void released(String handoff);

        /** The result is unknown. */
        void failed();
    }

    /**
     * Grants keys.
     *
     * @param holdMs returns how long the grant may last if it is written at the given time; 0 if it must not be written
     */
    void grant(GrantCall call, DoubleUnaryOperator holdMs, GrantListener listener);

    /** Takes keys back. */
    void release(ReleaseCall call, ReleaseListener listener);

    /** Drops all calls to the previous endpoint, because another one has taken its place; their results are ignored. */
    void clear();
}
