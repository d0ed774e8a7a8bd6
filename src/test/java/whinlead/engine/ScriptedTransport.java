package whinlead.engine;

import java.util.ArrayList;
import java.util.List;
import whinlead.Contract;

/** A transport that keeps what it is to send until a test says how it ended. */
final class ScriptedTransport implements Transport<String> {
    /** One attempt that it was given. */
    static final class Sent implements Sending {
        final String endpoint;
        final int attempt;
        final double within;
        final Outcomes<String> told;
        boolean written = true;
        boolean givenUp;

        private Sent(String endpoint, int attempt, double within, Outcomes<String> told) {
            this.endpoint = endpoint;
            this.attempt = attempt;
            this.within = within;
            this.told = told;
        }

        void ends(Contract.Outcome outcome) {
            told.ended(outcome, outcome == Contract.Outcome.SERVED ? "answer" : null, null);
        }

        @Override
        public boolean giveUp() {
            givenUp = true;
            return written;
        }
    }

    final List<Sent> sent = new ArrayList<>();

    @Override
    public Sending send(String endpoint, int attempt, double within, Outcomes<String> told) {
        Sent s = new Sent(endpoint, attempt, within, told);
        sent.add(s);
        return s;
    }
}
