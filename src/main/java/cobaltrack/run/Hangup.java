package cobaltrack.run;

import java.lang.reflect.Proxy;

/**
 * Guards against the JVM's own answer to SIGHUP, which is to end. Java has no public interface to signals;
 * the one in the module jdk.unsupported is reached by its name, since javac warns of any other use.
 */
final class Hangup {
    private Hangup() { }

    /** Has this run, in a thread of the JVM's, whenever SIGHUP comes. */
    static void run(Runnable task) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object onSignal = Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handler},
                (proxy, method, arguments) -> {
                    task.run();
                    return null;
                });
        signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), onSignal);
    }
}
