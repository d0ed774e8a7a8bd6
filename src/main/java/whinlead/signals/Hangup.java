package whinlead.signals;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Replaces the JVM's default reaction to SIGHUP, which is to exit. Installed by the first line of the program, long
 * before anything can be reloaded; signals received until then are handled by one reload.
 *
 * <p>A signal ignored before that line can't be handled there: after a shell's {@code trap '' HUP} before {@code exec}
 * the signal is ignored, and the JVM never changes that. {@link IgnoredHangup} does.
 *
 * <p>Java has no public interface to signals; the one in the module jdk.unsupported is accessed by reflection, since
 * javac warns of any direct use. Thread-safe: the JVM calls the handler on one of its own threads.
 */
public final class Hangup {
    private final AtomicBoolean pending = new AtomicBoolean();
    private volatile Runnable task;

    private Hangup() {}

    /**
     * Installs the handler: from now on SIGHUP does not end the process.
     *
     * @param log receives one line if the signal stays ignored because that can't be changed
     */
    public static Hangup guard(Consumer<String> log) throws ReflectiveOperationException {
        Hangup hangup = new Hangup();
        if (hangup.install()) {
            String why = IgnoredHangup.stopIgnoring();
            if (why != null) {
                log.accept("SIGHUP stays ignored, as this process was started: " + why);
            } else if (hangup.install()) {
                log.accept("SIGHUP stays ignored, as this process was started");
            }
        }
        return hangup;
    }

    /** Runs this task for every SIGHUP from now on, and once now if one was received before. */
    public void onHangup(Runnable reload) {
        task = reload;
        // The task is set before the flag is read, and the handler sets the flag before it reads the task: no signal is
        // lost between the two.
        runPending();
    }

    private void runPending() {
        Runnable reload = task;
        if (reload != null && pending.getAndSet(false)) {
            reload.run();
        }
    }

    // True if the JVM left the signal ignored.
    private boolean install() throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        InvocationHandler calls = (proxy, method, arguments) -> {
            pending.set(true);
            runPending();
            return null;
        };
        Object before = signal.getMethod("handle", signal, handler)
                .invoke(
                        null,
                        signal.getConstructor(String.class).newInstance("HUP"),
                        Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handler}, calls));
        return before != null && before.equals(handler.getField("SIG_IGN").get(null));
    }
}
