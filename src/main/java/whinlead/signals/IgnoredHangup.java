package whinlead.signals;

import com.kenai.jffi.CallContext;
import com.kenai.jffi.CallingConvention;
import com.kenai.jffi.Invoker;
import com.kenai.jffi.Library;
import com.kenai.jffi.Type;

/**
 * Stops SIGHUP from being ignored. A process inherits that setting from its parent, and HotSpot preserves it
 * ({@code JVM_RegisterSignal} does not change termination signals that are ignored). Java can't change that, so
 * signal(2) of the C library is called. The library for native calls is loaded only if the signal is ignored.
 */
final class IgnoredHangup {
    /** SIGHUP's number in POSIX. */
    private static final int HANGUP = 1;

    private IgnoredHangup() {}

    /** Stops the signal from being ignored; returns null on success, else a short reason. */
    static String stopIgnoring() {
        try {
            Library libc = Library.getDefault();
            long signal = libc.getSymbolAddress("signal");
            // Not the default action, which ends the process: a signal may arrive before the JVM's handler is
            // installed. This function takes a number and has no effect.
            long harmless = libc.getSymbolAddress("abs");
            if (signal == 0 || harmless == 0) {
                return "the C library has no signal(2)";
            }
            CallContext call = CallContext.getCallContext(
                    Type.SLONG, new Type[] {Type.SLONG, Type.SLONG}, CallingConvention.DEFAULT, false);
            return Invoker.getInstance().invokeN2(call, signal, HANGUP, harmless) == -1 ? "signal(2) refused it" : null;
        } catch (LinkageError | RuntimeException e) {
            // The native part can't be stored or does not exist for this machine: the process must serve nevertheless.
            return "its library can't be loaded: " + e.getMessage();
        }
    }
}
