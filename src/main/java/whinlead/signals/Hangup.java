package whinlead.signals;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Guards against the JVM's own answer to SIGHUP, which is to end. It stands from the first line of the program, long
 * before there is anything to reload; what comes until then is made up for by one reload.
 *
 * <p>Before that line nothing of the program can help: a shell's {@code trap '' HUP} before {@code exec} has the signal
 * ignored, and the JVM respects that for good. {@link IgnoredHangup} ends it.
 *
 * <p>Java has no public interface to signals; the one in the module jdk.unsupported is reached by its name, since javac
 * warns of any other use. For any thread: the JVM calls from one of its own.
 */
public final class Hangup {
    private final AtomicBoolean came = new AtomicBoolean();
    private volatile Runnable task;

    private Hangup() {}

    /**
     * From now on SIGHUP ends nothing.
     *
     * @param log told, in a line, where the signal stays ignored for the want of a means
     */
    public static Hangup guard(Consumer<String> log) throws ReflectiveOperationException {
        Hangup hangup = new Hangup();
        if (hangup.install()) {
            String why = IgnoredHangup.lift();
            if (why != null) {
                log.accept("SIGHUP stays ignored, as this process was started: " + why);
            } else if (hangup.install()) {
                log.accept("SIGHUP stays ignored, as this process was started");
            }
        }
        return hangup;
    }

    /** Has this run for every SIGHUP from now on, and once now if any has come. */
    public void on(Runnable reload) {
        task = reload;
        // In this order, and the other way round where one comes: none falls between the two.
        make();
    }

    private void make() {
        Runnable reload = task;
        if (reload != null && came.getAndSet(false)) {
            reload.run();
        }
    }

    // True if the JVM left the signal ignored.
    private boolean install() throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        InvocationHandler calls = (proxy, method, arguments) -> {
            came.set(true);
            make();
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
