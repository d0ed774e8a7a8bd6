package whinlead.consult;

/** What a caller is told to do with its request. */
public sealed interface Directive {
    /** Its name in every protocol. */
    String word();

    /**
     * Send it to this endpoint, once, and report what became of it.
     *
     * @param address ADDRESS:PORT
     * @param attempt to be named in the report; 0 for the first
     * @param within milliseconds after which the attempt is given up, and then may have run
     * @param valid milliseconds in which it has to be sent; after that it is to be reported as not sent, since the
     *     endpoint may have been told to drain
     */
    record Send(String endpoint, String address, int attempt, double within, double valid) implements Directive {
        @Override
        public String word() {
            return "send";
        }
    }

    /** It is over: an endpoint served it, and the caller has the answer. */
    record Served() implements Directive {
        @Override
        public String word() {
            return "served";
        }
    }

    /**
     * It is over: answer that it was turned away; another try does no harm.
     *
     * @param retryAfter milliseconds to tell the client, or 0 for nothing
     */
    record Refused(double retryAfter) implements Directive {
        @Override
        public String word() {
            return "refuse";
        }
    }

    /** It is over: answer that it failed. It may have run. */
    record Failed() implements Directive {
        @Override
        public String word() {
            return "fail";
        }
    }

    /** It is out already, by another call with its id: not to be sent again, and nothing is known yet. */
    record AlreadyOut() implements Directive {
        @Override
        public String word() {
            return "already_out";
        }
    }

    /** Nothing is known of it: it was never asked, or is long over. */
    record Unknown() implements Directive {
        @Override
        public String word() {
            return "unknown";
        }
    }

    /**
     * It was not taken, for this caller, or all callers together, hold as many as they may.
     *
     * @param retryAfter milliseconds to tell the client
     */
    record TooMany(double retryAfter) implements Directive {
        @Override
        public String word() {
            return "too_many";
        }
    }
}
