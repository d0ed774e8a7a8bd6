package whinlead.front.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.envoyproxy.envoy.config.core.v3.HeaderMap;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpBody;
import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.stub.ServerCallStreamObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import whinlead.Contract;
import whinlead.consult.Bounds;
import whinlead.consult.Consultations;
import whinlead.consult.Directive;
import whinlead.consult.Peer;
import whinlead.decide.Decide;
import whinlead.engine.Engine;
import whinlead.engine.ScriptedModule;
import whinlead.front.consult.ConsultRequest;
import whinlead.front.consult.HeaderNames;
import whinlead.membership.EndpointList;
import whinlead.testbed.DrivenClock;
import whinlead.testbed.Settings;

/** One stream of Envoy's without a socket, under a driven clock. */
class ExtProcStreamTest {
    private final DrivenClock clock = new DrivenClock();
    private final Contract.Settings settings = Settings.of(true, Settings.type("read", 1, Contract.Effect.SAFE));
    private Consultations all;
    private final Engine engine = engine(actions -> new Decide(settings, 7, actions));
    private final Call call = new Call();
    private int left;

    /** gRPC's side of it, with room for answers or none. */
    private static final class Call extends ServerCallStreamObserver<ProcessingResponse> {
        private final List<ProcessingResponse> said = new ArrayList<>();
        private boolean ready = true;
        private int asked;
        private boolean over;
        private Runnable onReady;

        @Override
        public boolean isCancelled() {
            return false;
        }

        @Override
        public void setOnCancelHandler(Runnable handler) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void setCompression(String compression) {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean isReady() {
            return ready;
        }

        @Override
        public void setOnReadyHandler(Runnable handler) {
            onReady = handler;
        }

        @Override
        public void disableAutoInboundFlowControl() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void disableAutoRequest() {
            // As wanted.
        }

        @Override
        public void request(int count) {
            asked += count;
        }

        @Override
        public void setMessageCompression(boolean enable) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void onNext(ProcessingResponse response) {
            said.add(response);
        }

        @Override
        public void onError(Throwable cause) {
            over = true;
        }

        @Override
        public void onCompleted() {
            over = true;
        }
    }

    private Engine engine(Function<Contract.Actions, Contract.Events> module) {
        Engine made = new Engine(clock, settings, module, l -> all.update(l), line -> {});
        all = new Consultations(made, clock, settings, new Bounds(100, 50, 100, 60_000, 60_000), line -> {});
        made.start(
                () -> {},
                new EndpointList(
                        1,
                        true,
                        List.of(new EndpointList.Entry(
                                new Contract.Server("s0", Contract.ServerState.UP, 1, "z", 0, 0),
                                EndpointList.address("127.0.0.1:81")))));
        return made;
    }

    private ExtProcStream stream() {
        return new ExtProcStream(
                all, clock, new ConsultRequest.Names(settings), new HeaderNames(), new Peer(), () -> left++, call);
    }

    private static HttpHeaders headers(String... pairs) {
        HeaderMap.Builder map = HeaderMap.newBuilder();
        for (int i = 0; i < pairs.length; i += 2) {
            map.addHeaders(HeaderValue.newBuilder().setKey(pairs[i]).setValue(pairs[i + 1]));
        }
        return HttpHeaders.newBuilder().setHeaders(map).build();
    }

    private static ProcessingRequest ask() {
        return ProcessingRequest.newBuilder()
                .setRequestHeaders(headers("request-id", "a", "request-class", "read"))
                .build();
    }

    @Test
    void theNextMessageIsTakenOnceTheCallerHasRoomForItsAnswer() {
        ExtProcStream stream = stream();
        assertEquals(1, call.asked);
        call.ready = false;
        stream.onNext(ask());
        ProcessingRequest body = ProcessingRequest.newBuilder()
                .setRequestBody(HttpBody.getDefaultInstance())
                .build();
        stream.onNext(body);
        assertEquals(2, call.said.size());
        assertEquals(1, call.asked);
        call.ready = true;
        call.onReady.run();
        assertEquals(2, call.asked);
        stream.onNext(body);
        assertEquals(3, call.asked);
    }

    @Test
    void oneThatIsSilentPastItsTimeIsEndedAndLeavesNothingOpen() {
        ExtProcStream stream = stream();
        stream.onNext(ask());
        assertTrue(call.said.get(0).hasRequestHeaders());
        clock.runTo(Settings.DEADLINE + 2000);
        assertTrue(call.over);
        assertEquals(1, left);
        assertEquals(0, all.open());
        stream.onError(new IllegalStateException("cancelled later"));
        assertEquals(1, left);
    }

    // The request has ended as a refusal by then; the client still has its answer.
    @Test
    void anEndpointsAnswerThatComesAfterTheEndIsPassedOn() {
        ScriptedModule module = new ScriptedModule();
        engine(actions -> {
            module.actions = actions;
            return module;
        });
        ExtProcStream stream = stream();
        stream.onNext(ask());
        module.actions.send(module.requests.get(0), "s0", 100);
        clock.runTo(150);
        module.actions.refuse(module.requests.get(0), 50);
        assertInstanceOf(Directive.Refused.class, all.ended("a"));
        stream.onNext(ProcessingRequest.newBuilder()
                .setResponseHeaders(headers(":status", "200"))
                .build());
        assertTrue(call.said.get(1).hasResponseHeaders(), call.said::toString);
        assertTrue(call.over);
    }
}
