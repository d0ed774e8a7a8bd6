package whinlead.replication.raft;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import whinlead.engine.Timers;

/** The clock of the consensus library, which only compares its times with each other. */
final class TimersClock extends Clock {
    private final Timers timers;

    /** A clock that reads these timers. */
    TimersClock(Timers timers) {
        this.timers = timers;
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli(millis());
    }

    @Override
    public long millis() {
        return (long) timers.nowMs();
    }
}
