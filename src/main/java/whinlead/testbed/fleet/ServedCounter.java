package whinlead.testbed.fleet;

/** How many requests clients sent, and how many of them were served. For the event loop. */
final class ServedCounter {
    private int sent;
    private int served;

    /** A client sends a request. */
    void requestSent() {
        sent++;
    }

    /** A client's request was served. */
    void requestServed() {
        served++;
    }

    int sent() {
        return sent;
    }

    int served() {
        return served;
    }

    /** Share of served among sent requests; 0 if none was sent. */
    static double share(int served, int sent) {
        return (double) served / Math.max(1, sent);
    }
}
