package whinlead.bench;

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
import whinlead.decide.NoActions;

/**
 * Cost of a decision: one request, the choice of its server and its outcome, and the periods that end meanwhile. Run it
 * with {@code mvn -q test-compile exec:exec}; it is not a test.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 2,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms48m", "-Xmx48m"})
public class DecideBenchmark {
    private static final double GAP_MS = 1;
    private static final double DURATION_MS = 5;

    /** Servers on the list. */
    @Param({"3", "12", "100"})
    public int servers;

    /** Whether all servers refuse, so that every draw fails. */
    @Param({"false", "true"})
    public boolean shut;

    private final Sink sink = new Sink();
    private Contract.Events module;
    private double nowMs;
    private long nextId;

    /** Creates a module and runs ten seconds of traffic through it. */
    @Setup
    public void warmUp() {
        Contract.RequestClass requestClass =
                new Contract.RequestClass("read", 1, 0, 500, 2000, Contract.Effect.SAFE, Contract.Group.ALL, 0, false);
        module = new Decide(
                new Contract.Settings(
                        List.of(requestClass),
                        List.of(),
                        1,
                        new Contract.Limits(3, true, true, false, false, true, 1000, 0),
                        new Contract.Obligations(1000, 3, 2000, 0.2, 20_000, 10_000),
                        Contract.Reporting.NONE,
                        false,
                        1,
                        0),
                7,
                sink);
        module.start(0);
        List<Contract.Server> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(new Contract.Server("s" + i, Contract.ServerState.UP, 1, "z", 0, 0));
        }
        module.servers(0, Contract.ListKind.FULL, list);
        for (int i = 0; i < 10_000; i++) {
            decide();
        }
    }

    /** One request to its end. */
    @Benchmark
    public Object decide() {
        nowMs += GAP_MS;
        while (sink.wakeAtMs <= nowMs) {
            module.wake(sink.wakeAtMs);
        }
        Contract.Request request = new Contract.Request(nextId++, 0, -1, 2000, false);
        sink.attempts = 0;
        module.request(nowMs, request);
        for (int attemptIndex = 0; attemptIndex < sink.attempts; attemptIndex++) {
            module.outcome(
                    nowMs,
                    request,
                    attemptIndex,
                    shut ? Contract.Outcome.FULL : Contract.Outcome.SERVED,
                    DURATION_MS,
                    !shut,
                    null);
        }
        return request;
    }

    private static final class Sink extends NoActions {
        private int attempts;
        private double wakeAtMs;

        @Override
        public void send(Contract.Request request, String server, double timeoutMs) {
            attempts++;
        }

        @Override
        public void wake(double timeMs) {
            wakeAtMs = timeMs;
        }
    }
}
