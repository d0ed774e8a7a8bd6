package whinlead.plan;

import whinlead.Contract;

/**
 * A front under simulated time: its cores, the speed of its machine, how many connections it has, and whether it is
 * there. For one thread.
 */
final class SimulatedFront {
    /** In steps of so many milliseconds a cold front gets faster. */
    private static final double COLD_STEP_MS = 200;
    /** Weight of an answer in the busy share and rate that a front reports. */
    private static final double REPORT_WEIGHT = 0.1;

    private static final double SECOND_MS = 1000;

    private final Fleet fleet;
    private final Calendar calendar;
    private final String id;
    private final Fleet.Model model;
    private final Fleet.Zone zone;
    private final double ownSpeed;
    private final FrontModel cores;
    private double slowdown = 1;
    private double bornAt;
    private int connections;
    private int incarnation;
    private boolean lost;
    private boolean silent;
    private double utilisation;
    private double answerGap;
    private double lastAnswerAt;

    /** An idle front on this machine. */
    SimulatedFront(SimulationContext context, Machines.Machine machine) {
        this.fleet = context.fleet();
        this.calendar = context.calendar();
        this.id = machine.id();
        this.model = machine.model();
        this.zone = machine.zone();
        this.ownSpeed = machine.speed();
        this.cores = coresOf(model);
        updateSpeed();
    }

    private FrontModel coresOf(Fleet.Model of) {
        Fleet.Front front = fleet.front();
        int room = (int) Math.min(Integer.MAX_VALUE, Math.round(front.roomPerCore() * of.cores()));
        FrontModel.Thrash thrash = front.thrashAbove() == 0
                ? FrontModel.Thrash.NONE
                : new FrontModel.Thrash(
                        front.thrashAbove() * of.cores(), front.thrashSpeed(), front.thrashUntil() * of.cores());
        return new FrontModel(calendar, of.cores(), front.sharing(), room, thrash);
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

    /** Milliseconds from a sidecar to this front, one way. */
    double latency() {
        return zone.way();
    }

    /** Whether it is gone for now. */
    boolean lost() {
        return lost;
    }

    /** Whether it answered nothing at all when it was last lost, in place of resetting connections. */
    boolean silent() {
        return silent;
    }

    /** Counts how often it was lost: connections of an earlier incarnation are gone. */
    int incarnation() {
        return incarnation;
    }

    /** Its entry in a list of endpoints. */
    Contract.Server entry() {
        Contract.Standing standing = lost ? Contract.Standing.GONE : Contract.Standing.UP;
        return new Contract.Server(id, standing, 1, zone.name(), 0, bornAt);
    }

    /** From now on its speed is this many times what it was. */
    void scaleSpeed(double factor) {
        slowdown *= factor;
        updateSpeed();
    }

    private void updateSpeed() {
        double coldTime = fleet.front().coldTime();
        double coldShare = fleet.front().coldShare();
        double age = bornAt == 0 ? coldTime : calendar.now() - bornAt;
        double warmth = coldTime == 0 ? 1 : Math.min(1, coldShare + (1 - coldShare) * age / coldTime);
        cores.speed(ownSpeed * slowdown * warmth);
        if (warmth < 1) {
            calendar.at(calendar.now() + COLD_STEP_MS, this::updateSpeed);
        }
    }

    /** It is lost, with all that it holds and all connections. */
    void lose(boolean silently) {
        lost = true;
        silent = silently;
        incarnation++;
        connections = 0;
        cores.lose();
    }

    /** It is back, and cold. */
    void restart() {
        lost = false;
        bornAt = calendar.now();
        updateSpeed();
    }

    /** Whether it takes one more connection. */
    boolean acceptsConnection() {
        return connections < fleet.front().connections();
    }

    /** A connection to it is opened. */
    void connectionOpened() {
        connections++;
    }

    /** A connection to an incarnation of it is closed. */
    void connectionClosed(int ofIncarnation) {
        connections -= incarnation == ofIncarnation ? 1 : 0;
    }

    /** It has done the work of a request. */
    void answered() {
        double busyShare = (double) Math.min(model.cores(), cores.held() + 1) / model.cores();
        utilisation += (busyShare - utilisation) * REPORT_WEIGHT;
        answerGap += (calendar.now() - lastAnswerAt - answerGap) * REPORT_WEIGHT;
        lastAnswerAt = calendar.now();
    }

    /** What it reports with an answer; null for nothing. */
    Contract.Report report() {
        if (fleet.settings().reporting() != Contract.Reporting.WITH_ANSWERS || answerGap <= 0) {
            return null;
        }
        return new Contract.Report(Double.NaN, Double.NaN, utilisation, Double.NaN, SECOND_MS / answerGap, 0);
    }
}
