package whinlead.testbed.replication;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import whinlead.replication.Command;

/** What truly became of each request, over all members, and which promises were broken. */
final class Truth {
    private static final class Story {
        private int runs;
        private double firstRun;
        private final Set<Command.Ending> promised = EnumSet.noneOf(Command.Ending.class);
        private double endBy;
    }

    private final Map<String, Story> stories = new HashMap<>();
    private final Map<String, Integer> broken = new TreeMap<>();
    private final Map<String, Integer> seen = new TreeMap<>();

    private Story story(String id) {
        return stories.computeIfAbsent(id, i -> new Story());
    }

    /** An endpoint has run it; {@code window} is for how long it knows a key, 0 for none. */
    void ran(String id, boolean guarded, double window, double now) {
        Story s = story(id);
        if (s.runs++ == 0) {
            s.firstRun = now;
        } else if (guarded && now > s.firstRun + window) {
            broken("run twice");
        }
        if (s.promised.contains(Command.Ending.REFUSED)) {
            broken("run after a refusal");
        }
    }

    /** A proxy's client hears that another try does no harm: nothing ran, or its key is known for a while. */
    void refused(String id, double window, double now) {
        Story s = story(id);
        if (s.runs > 0 && now >= s.firstRun + window) {
            broken("told that nothing ran, but it did");
        }
    }

    /** A client asks, and waits until then. */
    void asked(String id, double endBy) {
        story(id).endBy = endBy;
    }

    /** A member has told that it ended so, for good; a refusal, while its client waits. */
    void promised(String id, Command.Ending ending, double now) {
        Story s = story(id);
        if (now > s.endBy) {
            s.promised.remove(Command.Ending.REFUSED);
        }
        s.promised.add(ending);
        if (s.promised.size() > 1) {
            broken("ends that differ");
        }
        if (ending == Command.Ending.REFUSED && s.runs > 0) {
            broken("refused, but ran");
        }
    }

    void broken(String what) {
        broken.merge(what, 1, Integer::sum);
    }

    void seen(String what) {
        seen.merge(what, 1, Integer::sum);
    }

    Map<String, Integer> broken() {
        return broken;
    }

    Map<String, Integer> seen() {
        return seen;
    }
}
