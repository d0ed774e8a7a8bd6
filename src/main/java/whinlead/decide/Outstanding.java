package whinlead.decide;

/** The attempts out at one server, oldest first; those that later ones overtook by far tell of no queue. */
final class Outstanding {
    // Attempts looked at in one go; keeps the work of a period and of an outcome bounded.
    static final int LOOK = 64;
    // From so many later attempts on that its server served, each in this part of the time that it has been
    // out, an attempt tells nothing of a queue. With less, long work in shared cores would pass for lost.
    static final double OVERTAKEN_PART = 0.3;
    private static final int OVERTAKEN = 2;

    // A ring: the oldest is newer than this mark, and the newest older.
    final Attempt mark = new Attempt(null, null, 0);
    int count;
    private int stuck;

    Outstanding() {
        mark.older = mark;
        mark.newer = mark;
    }

    // Those that count against the server.
    int counted() {
        return count - stuck;
    }

    void add(Attempt a) {
        a.older = mark.older;
        a.newer = mark;
        a.older.newer = a;
        mark.older = a;
        count++;
    }

    void remove(Attempt a) {
        a.out = false;
        count--;
        if (a.overtaken >= OVERTAKEN) {
            stuck--;
        }
        a.older.newer = a.newer;
        a.newer.older = a.older;
    }

    // Later attempts served far faster than an older one has waited show that the server is at work and that
    // the older one is lost, or heavy. Guards against silent connections and work that hangs, which would
    // shut a sound server. One that starves old work for new shows its queue in answers' times alone.
    void overtake(double now, Attempt served, double took) {
        double longest = took / OVERTAKEN_PART;
        int looked = 0;
        for (Attempt o = served.older; o != mark && looked < LOOK; o = o.older, looked++) {
            o.passed = true;
            o.passedByOwn |= o.call.request.classIndex == served.call.request.classIndex;
            if (now - o.sentAt > longest && ++o.overtaken == OVERTAKEN) {
                stuck++;
            }
        }
    }
}
