package whinlead.consult;

/** What a caller has to do with its request. */
public sealed interface Directive {
    /** The name of the directive in every protocol. */
    String wireName();

    /**
     * Send the request to this endpoint once, and report the outcome.
     *
     * @param address ADDRESS:PORT
     * @param attempt number to be given in the report; 0 for the first
     * @param withinMs timeout of the attempt in milliseconds; after it the attempt may have run
     * @param validMs milliseconds within which the attempt has to be sent; later it has to be reported as not sent,
     *     since the endpoint may have started to drain
     */
    record Send(String endpoint, String address, int attempt, double withinMs, double validMs) implements Directive {
        @Override
        public String wireName() {
            return "send";
        }
    }

    /** The request has ended: an endpoint served it, and the caller has the answer. */
    record Served() implements Directive {
        @Override
        public String wireName() {
            return "served";
        }
    }

    /**
     * The request has ended: answer that it was refused; a retry is safe.
     *
     * @param retryAfterMs Retry-After for the client in milliseconds, or 0 for none
     */
    record Refused(double retryAfterMs) implements Directive {
        @Override
        public String wireName() {
            return "refuse";
        }
    }

    /** The request has ended: answer that it failed. It may have run. */
    record Failed() implements Directive {
        @Override
        public String wireName() {
            return "fail";
        }
    }

    /**
     * An attempt is already out by another call with the same id: do not send it again; the outcome is not known yet.
     */
    record AlreadyOut() implements Directive {
        @Override
        public String wireName() {
            return "already_out";
        }
    }

    /** Nothing is known of the request: it was never asked about, or ended long ago. */
    record Unknown() implements Directive {
        @Override
        public String wireName() {
            return "unknown";
        }
    }

    /**
     * The request was not accepted: this caller, or all callers together, have reached their bound.
     *
     * @param retryAfterMs Retry-After for the client in milliseconds
     */
    record TooMany(double retryAfterMs) implements Directive {
        @Override
        public String wireName() {
            return "too_many";
        }
    }
}
