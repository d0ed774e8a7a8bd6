package whinlead.engine;

import java.util.ArrayList;
import java.util.List;

/** Collects the results of one request. */
final class ScriptedFront implements ResponseSink<String> {
    final List<String> results = new ArrayList<>();

    @Override
    public void served(String answer) {
        results.add("served " + answer);
    }

    @Override
    public void refused(double retryAfterMs) {
        results.add("refused " + (long) retryAfterMs);
    }

    @Override
    public void failed() {
        results.add("failed");
    }
}
