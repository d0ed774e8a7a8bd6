package whinlead.plan;

import whinlead.Contract;

/** A front under simulated time: its cores, machine speed, number of connections and availability. Not thread-safe. */
final class SimulatedFront {
    /** Interval in milliseconds at which the speed of a warming front is updated. */
    private static final double COLD_STEP_MS = 200;
    /** Weight of each answer in the reported moving averages of utilisation and rate. */
    private static final double REPORT_WEIGHT = 0.1;

    private static final double SECOND_MS = 1000;

    private final Fleet fleet;
    private final Calendar calendar;
    private final String id;
    private final Fleet.Model model;
    private final Fleet.Zone zone;
    private final double baseSpeed;
    private final FrontModel cores;
    private double speedFactor = 1;
    private double startedAtMs;
    private int connections;
    private int incarnation;
    private boolean lost;
    private boolean silent;
    private double utilisation;
    private double meanAnswerGapMs;
    private double lastAnswerAtMs;

    /** Creates an idle front on a machine. */
    SimulatedFront(SimulationContext context, Machines.Machine machine) {
        this.fleet = context.fleet();
        this.calendar = context.calendar();
        this.id = machine.id();
        this.model = machine.model();
        this.zone = machine.zone();
        this.baseSpeed = machine.speed();
        this.cores = createCores(model);
        updateSpeed();
    }

    private FrontModel createCores(Fleet.Model ofModel) {
        Fleet.Front front = fleet.front();
        int room = (int) Math.min(Integer.MAX_VALUE, Math.round(front.roomPerCore() * ofModel.cores()));
        FrontModel.Thrash thrash = front.thrashAbove() == 0
                ? FrontModel.Thrash.NONE
                : new FrontModel.Thrash(
                        front.thrashAbove() * ofModel.cores(),
                        front.thrashSpeed(),
                        front.thrashUntil() * ofModel.cores());
        return new FrontModel(calendar, ofModel.cores(), front.sharing(), room, thrash);
    }

    String id() {
        return id;
    }

    FrontModel cores() {
        return cores;
    }

    int coreCount() {
        return model.cores();
    }

    /** One-way latency from a sidecar to this front, in milliseconds. */
    double latency() {
        return zone.oneWayLatency();
    }

    /** Whether the front is lost at present. */
    boolean lost() {
        return lost;
    }

    /** Whether the last loss was silent, without connection resets. */
    boolean silent() {
        return silent;
    }

    /** Number of losses so far; connections of an earlier incarnation no longer exist. */
    int incarnation() {
        return incarnation;
    }

    /** The front's entry in the endpoint list. */
    Contract.Server entry() {
        Contract.ServerState standing = lost ? Contract.ServerState.GONE : Contract.ServerState.UP;
        return new Contract.Server(id, standing, 1, zone.name(), 0, startedAtMs);
    }

    /** Multiplies the speed by a factor from now on. */
    void scaleSpeed(double factor) {
        speedFactor *= factor;
        updateSpeed();
    }

    private void updateSpeed() {
        double coldTime = fleet.front().coldTime();
        double coldShare = fleet.front().coldShare();
        double age = startedAtMs == 0 ? coldTime : calendar.nowMs() - startedAtMs;
        double warmth = coldTime == 0 ? 1 : Math.min(1, coldShare + (1 - coldShare) * age / coldTime);
        cores.speed(baseSpeed * speedFactor * warmth);
        if (warmth < 1) {
            calendar.scheduleAt(calendar.nowMs() + COLD_STEP_MS, this::updateSpeed);
        }
    }

    /** Loses the front with all its requests and connections. */
    void lose(boolean silently) {
        lost = true;
        silent = silently;
        incarnation++;
        connections = 0;
        cores.loseAll();
    }

    /** Restarts the front, cold. */
    void restart() {
        lost = false;
        startedAtMs = calendar.nowMs();
        updateSpeed();
    }

    /** Whether the front accepts one more connection. */
    boolean acceptsConnection() {
        return connections < fleet.front().connections();
    }

    /** Records that a connection was opened. */
    void connectionOpened() {
        connections++;
    }

    /** Records that a connection to an incarnation of the front was closed. */
    void connectionClosed(int ofIncarnation) {
        connections -= incarnation == ofIncarnation ? 1 : 0;
    }

    /** Records that the work of a request is done. */
    void requestCompleted() {
        double busyShare = (double) Math.min(model.cores(), cores.visitCount() + 1) / model.cores();
        utilisation += (busyShare - utilisation) * REPORT_WEIGHT;
        meanAnswerGapMs += (calendar.nowMs() - lastAnswerAtMs - meanAnswerGapMs) * REPORT_WEIGHT;
        lastAnswerAtMs = calendar.nowMs();
    }

    /** The load report sent with an answer, or null for none. */
    Contract.Report report() {
        if (fleet.settings().reporting() != Contract.Reporting.WITH_ANSWERS || meanAnswerGapMs <= 0) {
            return null;
        }
        return new Contract.Report(Double.NaN, Double.NaN, utilisation, Double.NaN, SECOND_MS / meanAnswerGapMs, 0);
    }
}
