package whinlead.signals;

import com.kenai.jffi.CallContext;
import com.kenai.jffi.CallingConvention;
import com.kenai.jffi.Invoker;
import com.kenai.jffi.Library;
import com.kenai.jffi.Type;

/**
 * Ends that SIGHUP is ignored, which a process inherits from what started it and which HotSpot keeps
 * ({@code JVM_RegisterSignal} leaves the signals that end a process alone where they are ignored). Java can't change
 * that, so signal(2) of the C library is called. Nothing of the library for that is loaded unless the signal is
 * ignored.
 */
final class IgnoredHangup {
    /** SIGHUP's number in POSIX. */
    private static final int HANGUP = 1;

    private IgnoredHangup() {}

    /** Ends it; null if that was done, else why not, in a few words. */
    static String lift() {
        try {
            Library c = Library.getDefault();
            long signal = c.getSymbolAddress("signal");
            // Not the default, which is to end: between this and the JVM's handler one may come. This
            // function takes a number and changes nothing.
            long harmless = c.getSymbolAddress("abs");
            if (signal == 0 || harmless == 0) {
                return "the C library has no signal(2)";
            }
            CallContext call = CallContext.getCallContext(
                    Type.SLONG, new Type[] {Type.SLONG, Type.SLONG}, CallingConvention.DEFAULT, false);
            return Invoker.getInstance().invokeN2(call, signal, HANGUP, harmless) == -1 ? "signal(2) refused it" : null;
        } catch (LinkageError | RuntimeException e) {
            // No room for its native part, or none for this machine: serving matters more.
            return "its library can't be loaded: " + e.getMessage();
        }
    }
}
