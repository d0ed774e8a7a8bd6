package whinlead.front.extproc;

import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import whinlead.Contract;
import whinlead.consult.Consultations;
import whinlead.consult.Directive;
import whinlead.consult.Peer;
import whinlead.engine.Timers;
import whinlead.front.consult.ConsultRequest;
import whinlead.front.consult.ConsultRequest.Field;
import whinlead.front.consult.HeaderNames;

/**
 * One stream of Envoy's: a try at a request. Its headers ask; the headers of the response report how the attempt ended,
 * and a stream that ends without them that nobody knows. The next message is taken once Envoy has room for the answers
 * to those before, so that one that does not read holds nothing up but itself.
 */
final class ExtProcStream implements StreamObserver<ProcessingRequest> {
    private enum State {
        NEW,
        SENT,
        ENDED
    }

    /** After an attempt's time, for a report that is under way. */
    private static final double LINGER_MS = 1000;

    private static final String STATUS = ":status";

    private final Consultations consultations;
    private final Timers timers;
    private final ConsultRequest.Names names;
    private final HeaderNames headers;
    private final Peer peer;
    private final Runnable left;
    private final ServerCallStreamObserver<ProcessingResponse> answers;
    private State state = State.NEW;
    private boolean owesRoom;
    private String id;
    private Directive.Send sent;
    private Timers.TimerHandle silence;

    ExtProcStream(
            Consultations consultations,
            Timers timers,
            ConsultRequest.Names names,
            HeaderNames headers,
            Peer peer,
            Runnable left,
            ServerCallStreamObserver<ProcessingResponse> answers) {
        this.consultations = consultations;
        this.timers = timers;
        this.names = names;
        this.headers = headers;
        this.peer = peer;
        this.left = left;
        this.answers = answers;
        answers.disableAutoRequest();
        answers.setOnReadyHandler(this::takeNext);
        answers.request(1);
    }

    @Override
    public void onNext(ProcessingRequest message) {
        if (state == State.ENDED) {
            return;
        }
        if (message.getObservabilityMode()) {
            breach("observability mode: the answers would not be followed");
            return;
        }
        switch (message.getRequestCase()) {
            case REQUEST_HEADERS -> ask(message);
            case RESPONSE_HEADERS -> report(message);
            case REQUEST_BODY, RESPONSE_BODY, REQUEST_TRAILERS, RESPONSE_TRAILERS ->
                answers.onNext(ExtProcAnswers.goOn(message.getRequestCase()));
            default -> breach("a message without content");
        }
        owesRoom = true;
        takeNext();
    }

    private void takeNext() {
        if (owesRoom && state != State.ENDED && answers.isReady()) {
            owesRoom = false;
            answers.request(1);
        }
    }

    private void ask(ProcessingRequest message) {
        if (state != State.NEW) {
            breach("request headers twice");
            return;
        }
        HeaderMap told = message.getRequestHeaders().getHeaders();
        ConsultRequest call = ConsultRequest.headers(f -> EnvoyHeaders.get(told, headers.of(f)), headers);
        try {
            id = call.id();
            consultations.ask(peer, id, call.ask(names), this::told);
        } catch (ConsultRequest.Bad e) {
            end(ExtProcAnswers.bad(e.getMessage()));
        }
    }

    private void told(Directive directive) {
        if (state == State.ENDED) {
            return;
        }
        if (directive instanceof Directive.Send send) {
            sent = send;
            state = State.SENT;
            silence = timers.schedule(send.withinMs() + LINGER_MS, this::finish);
            answers.onNext(ExtProcAnswers.send(send));
        } else {
            end(ExtProcAnswers.over(directive));
        }
    }

    private void report(ProcessingRequest message) {
        if (state != State.SENT) {
            breach("response headers before request headers were answered");
            return;
        }
        HeaderMap told = message.getResponseHeaders().getHeaders();
        ResponseDetails details = ResponseDetails.of(message);
        ConsultRequest.Ended ended;
        try {
            ended = ConsultRequest.headers(f -> reported(f, told, details), headers)
                    .ended();
        } catch (ConsultRequest.Bad e) {
            breach(e.getMessage());
            return;
        }
        Directive.Send attempt = sent;
        sent = null;
        consultations.outcome(id, attempt.attempt(), ended.endpoint(), ended.outcome(), ended.report(), null);
        Directive over = consultations.ended(id);
        boolean served = ended.outcome() == Contract.Outcome.SERVED;
        if (over instanceof Directive.Refused && !served || over instanceof Directive.Failed && !details.ofEndpoint()) {
            // What Envoy would answer on its own does not tell whether another try does harm. An endpoint's
            // answer that comes after the end is an answer still.
            end(ExtProcAnswers.over(over));
        } else {
            end(ExtProcAnswers.goOn(message.getRequestCase()));
        }
    }

    private String reported(Field field, HeaderMap told, ResponseDetails details) {
        return switch (field) {
            case ATTEMPT -> Integer.toString(sent.attempt());
            case OUTCOME -> details.outcome();
            case STATUS -> EnvoyHeaders.get(told, STATUS);
            case ENDPOINT -> details.sentTo(sent.address()) ? sent.endpoint() : details.address();
            case NOT_STARTED, LOAD -> EnvoyHeaders.get(told, headers.of(field));
            default -> null;
        };
    }

    private void breach(String why) {
        if (state != State.ENDED) {
            leave();
            answers.onError(Status.INVALID_ARGUMENT.withDescription(why).asRuntimeException());
        }
    }

    private void end(ProcessingResponse last) {
        answers.onNext(last);
        finish();
    }

    // Envoy goes on without a stream that has ended well.
    private void finish() {
        if (state != State.ENDED) {
            leave();
            answers.onCompleted();
        }
    }

    // An attempt without a report may have run, and whether the client, Envoy or the endpoint gave up is not
    // known: nobody is blamed, and a further stream may take what the module wants next.
    private void leave() {
        state = State.ENDED;
        if (silence != null) {
            silence.cancel();
        }
        if (sent != null) {
            consultations.outcome(id, sent.attempt(), null, Contract.Outcome.CANCELLED, null, null);
        }
        left.run();
    }

    @Override
    public void onError(Throwable cause) {
        if (state != State.ENDED) {
            leave();
        }
    }

    @Override
    public void onCompleted() {
        finish();
    }
}
