package whinlead.bench;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import whinlead.Contract;
import whinlead.decide.Decide;
import whinlead.engine.Engine;
import whinlead.engine.Request;
import whinlead.engine.ResponseSink;
import whinlead.engine.Transport;
import whinlead.membership.EndpointList;
import whinlead.testbed.DrivenClock;
import whinlead.testbed.Settings;

/**
 * Cost of a request in the engine with the module: accepting it, sending its attempt, which is answered 5 ms later, its
 * timers and its end, without a front and a transport. Run it with {@code mvn -q test-compile exec:exec}; it is not a
 * test.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 2,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms48m", "-Xmx48m"})
public class EngineBenchmark {
    private static final double GAP_MS = 1;
    private static final double DURATION_MS = 5;
    private static final int WARMUP_REQUESTS = 10_000;

    /** Servers on the list. */
    @Param({"3", "12", "60", "600"})
    public int servers;

    private final DrivenClock clock = new DrivenClock();
    private final Request request = new Request(0, -1, Settings.DEADLINE, false);
    private final CountingSink sink = new CountingSink();
    private final Transport<String> transport = (endpoint, attempt, within, told) -> {
        clock.schedule(DURATION_MS, () -> told.ended(Contract.Outcome.SERVED, "", null));
        return () -> true;
    };
    private Engine engine;

    /** Creates an engine and runs ten seconds of traffic through it. */
    @Setup
    public void warmUp() {
        Contract.Settings settings = Settings.of(true, Settings.type("read", 1, Contract.Effect.SAFE));
        engine = new Engine(clock, settings, actions -> new Decide(settings, 7, actions), entries -> {}, line -> {});
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(new EndpointList.Entry(
                    new Contract.Server("s" + i, Contract.ServerState.UP, 1, "z", 0, 0), new InetSocketAddress(1)));
        }
        engine.start(() -> {}, new EndpointList(1, true, entries));
        for (int i = 0; i < WARMUP_REQUESTS; i++) {
            request();
        }
        if (sink.served < WARMUP_REQUESTS / 2) {
            throw new IllegalStateException("too few requests served in the warm-up: " + sink.served);
        }
    }

    /** One request, and the events until the next. */
    @Benchmark
    public Object request() {
        Object pending = engine.accept(request, transport, sink);
        clock.runTo(clock.nowMs() + GAP_MS);
        return pending;
    }

    private static final class CountingSink implements ResponseSink<String> {
        private long served;

        @Override
        public void served(String answer) {
            served++;
        }

        @Override
        public void refused(double retryAfter) {}

        @Override
        public void failed() {}
    }
}
