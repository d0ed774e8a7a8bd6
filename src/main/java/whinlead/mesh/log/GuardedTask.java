package whinlead.mesh.log;

/** Runs event loop tasks whose failure must be logged and must not stop later tasks. */
public final class GuardedTask {
    private GuardedTask() {}

    /** Runs the task; an exception is logged as an internal error. */
    public static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException fault) {
            log(fault);
        }
    }

    /** Logs an exception as an internal error. The JVM omits the stack trace of one that is thrown often. */
    public static void log(RuntimeException fault) {
        StackTraceElement[] trace = fault.getStackTrace();
        Event.INTERNAL_ERROR.log(fault + " at " + (trace.length > 0 ? trace[0] : "?"));
    }
}
