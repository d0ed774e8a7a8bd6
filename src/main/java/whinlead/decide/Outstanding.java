package whinlead.decide;

/**
 * The attempts in flight at one server, oldest first. Attempts that later ones overtook by far do not count as a queue.
 */
final class Outstanding {
    // Most attempts scanned at once; bounds the work of a period and of an outcome.
    static final int MAX_SCAN = 64;
    // An attempt is disregarded as a sign of a queue once MIN_OVERTAKES later attempts were served, each within this
    // part of the time that it has been in flight. With fewer, long work on shared cores would be taken for lost.
    static final double OVERTAKE_DURATION_SHARE = 0.3;
    private static final int MIN_OVERTAKES = 2;

    // Sentinel of a ring: its newer neighbour is the oldest attempt, its older neighbour the newest.
    final Attempt sentinel = new Attempt(null, null, 0);
    int count;
    private int disregarded;

    Outstanding() {
        sentinel.older = sentinel;
        sentinel.newer = sentinel;
    }

    // Attempts that count as load on the server.
    int countedInFlight() {
        return count - disregarded;
    }

    void add(Attempt attempt) {
        attempt.older = sentinel.older;
        attempt.newer = sentinel;
        attempt.older.newer = attempt;
        sentinel.older = attempt;
        count++;
    }

    void remove(Attempt attempt) {
        attempt.inFlight = false;
        count--;
        if (attempt.overtakes >= MIN_OVERTAKES) {
            disregarded--;
        }
        attempt.older.newer = attempt.newer;
        attempt.newer.older = attempt.older;
    }

    // Later attempts that are served far faster than an older one has waited show that the server works and that the
    // older attempt is lost or heavy. Guards against dropping at a healthy server because of silent connections or
    // hanging work. A server that starves old work in favour of new is detected by its answer times only.
    void recordServed(double nowMs, Attempt served, double durationMs) {
        double minAgeMs = durationMs / OVERTAKE_DURATION_SHARE;
        int scanned = 0;
        for (Attempt older = served.older; older != sentinel && scanned < MAX_SCAN; older = older.older, scanned++) {
            older.laterServed = true;
            older.laterOfClassServed |= older.call.request.classIndex == served.call.request.classIndex;
            if (nowMs - older.sentAtMs > minAgeMs && ++older.overtakes == MIN_OVERTAKES) {
                disregarded++;
            }
        }
    }
}
