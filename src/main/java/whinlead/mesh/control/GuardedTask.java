package whinlead.mesh.control;

import whinlead.mesh.log.Event;

/** Runs event loop tasks whose failure must be logged and must not stop later tasks. */
final class GuardedTask {
    private GuardedTask() {}

    /** Runs the task; an exception is logged as an internal error. */
    static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Event.INTERNAL_ERROR.log(e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
        }
    }
}
