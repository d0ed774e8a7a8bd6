package whinlead.mesh.control;

import whinlead.mesh.log.Event;

/** Runs tasks of an event loop whose failure must be logged and must not end what follows. */
final class GuardedTask {
    private GuardedTask() {}

    /** Runs it; what it throws is logged as a fault of the program. */
    static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            Event.FAULT.log(e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
        }
    }
}
