package whinlead.engine;

import java.util.ArrayList;
import java.util.List;
import whinlead.Contract;

/** A transport that records the attempts; a test sets their outcomes. */
final class ScriptedTransport implements Transport<String> {
    /** One attempt. */
    static final class Sent implements AttemptHandle {
        final String endpoint;
        final int attempt;
        final double timeoutMs;
        final OutcomeListener<String> listener;
        boolean written = true;
        boolean aborted;

        private Sent(String endpoint, int attempt, double timeoutMs, OutcomeListener<String> listener) {
            this.endpoint = endpoint;
            this.attempt = attempt;
            this.timeoutMs = timeoutMs;
            this.listener = listener;
        }

        void end(Contract.Outcome outcome) {
            listener.ended(outcome, outcome == Contract.Outcome.SERVED ? "answer" : null, null);
        }

        @Override
        public boolean abort() {
            aborted = true;
            return written;
        }
    }

    final List<Sent> sent = new ArrayList<>();

    @Override
    public AttemptHandle send(String endpoint, int attempt, double timeoutMs, OutcomeListener<String> listener) {
        Sent attempted = new Sent(endpoint, attempt, timeoutMs, listener);
        sent.add(attempted);
        return attempted;
    }
}
