package review;

import java.util.List;
import java.util.Map;

/** A sidecar is killed and started again; the endpoint beside it departs, and a heartbeat of before arrives late. */
final class LateHeartbeat extends Case {
    private static final double DRAIN_S = 2.5;
    private static final double CONTACT_S = 3;
    private static final double DEADLINE_S = 5;
    /** How long after its acknowledged departure the endpoint serves on. */
    private static final double SERVES_ON_S = 6;

    private volatile boolean stopped;

    private LateHeartbeat(String recordFile) {
        super(recordFile);
    }

    public static void main(String[] args) {
        new LateHeartbeat(args[0]).run(3, 24, "storefront", "backroom", "backroom");
    }

    @Override
    String configuration() {
        return configuration(
                "00000001",
                List.of(route("r-order", "/order/", "mutating", DEADLINE_S, 2, "backroom")),
                "storefront",
                "backroom");
    }

    private void place(Mesh.Machine near) {
        while (!stopped) {
            threads.execute(() -> client.ask(
                    near, "shop.example", "POST /order/work200", new byte[1200], (int) (DEADLINE_S * 1000), Map.of()));
            Endpoint.sleep(50);
        }
    }

    @Override
    boolean isBroken() throws Exception {
        Mesh.Machine near = mesh.sidecars.get(0);
        Mesh.Machine far = mesh.sidecars.get(1);
        Endpoint leaving = endpoints.get(1);
        threads.execute(() -> place(near));
        Thread.sleep(3000);
        leaving.stopBeating();
        double startedS = 0;
        if (trouble) {
            mesh.signal(far, "KILL");
            far.process.waitFor();
            Thread.sleep(500);
            mesh.start(far);
            startedS = Record.now();
            for (int i = 0; i < 100 && !mesh.ready(far); i++) {
                Thread.sleep(50);
            }
        }
        // Sent before the departure, and seconds late.
        long lateCall = leaving.nextCall();
        leaving.nextCall();
        int status = leaving.depart();
        double acknowledgedS = Record.now();
        record.say("departure of " + leaving.id + " answered " + status + " at " + at(acknowledgedS));
        if (status != 200) {
            throw new IllegalStateException("the departure was not acknowledged");
        }
        Thread.sleep(1500);
        record.say("late heartbeat " + lateCall + " answered " + leaving.beat(lateCall) + " at " + at(Record.now()));
        Thread.sleep((long) ((acknowledgedS + SERVES_ON_S - Record.now()) * 1000));
        leaving.close();
        record.say(leaving.id + " has ended at " + at(Record.now()));
        Thread.sleep(2000);
        stopped = true;
        Thread.sleep((long) (DEADLINE_S * 1000));
        ends().forEach((end, count) -> record.say(count + " x " + end));
        // In touch: ContactS after the start that the platform made.
        double fromS = Math.max(acknowledgedS + DRAIN_S, startedS + CONTACT_S);
        long late = leaving.runs.stream().filter(run -> run.begun > fromS).count();
        record.say(late + " requests began at " + leaving.id + " later than DrainS after its acknowledged departure");
        return late > 0;
    }
}
