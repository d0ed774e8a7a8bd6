package whinlead.mesh.sidecar;

import java.util.function.Consumer;
import java.util.function.Supplier;
import whinlead.engine.Timers;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;

/**
 * Publishes this sidecar's own endpoint record: with a higher number whenever it changes, and again now and then, for a
 * message may be lost. On the loop's thread.
 */
final class RecordPublisher {
    /** How often an unchanged record is published again, in milliseconds. */
    private static final double REPEAT_MS = 3000;

    private final Timers timers;
    private final String node;
    private final String zone;
    private final EndpointGate gate;
    private final Supplier<String> service;
    private final EndpointRegistry registry;
    private final OutdatedLists lists;
    private final Consumer<EndpointRecord> publish;
    /** Rises with each start of this sidecar. */
    private long incarnation = System.currentTimeMillis();
    /** Counts the records of this incarnation. */
    private long sequence;

    private double publishedAt;
    private boolean leaving;

    /**
     * A publisher that has published nothing.
     *
     * @param gate knows the endpoint beside this sidecar
     * @param service tells the endpoint's service
     * @param lists takes the record in here
     * @param publish sends it to the control nodes
     */
    RecordPublisher(
            Timers timers,
            String node,
            String zone,
            EndpointGate gate,
            Supplier<String> service,
            EndpointRegistry registry,
            OutdatedLists lists,
            Consumer<EndpointRecord> publish) {
        this.timers = timers;
        this.node = node;
        this.zone = zone;
        this.gate = gate;
        this.service = service;
        this.registry = registry;
        this.lists = lists;
        this.publish = publish;
    }

    /** Something that others need to know has changed. */
    void changed() {
        sequence++;
        lists.merge(new EndpointRecord(
                node,
                incarnation,
                sequence,
                zone,
                gate.endpoint(),
                service.get(),
                leaving ? EndpointRecord.Phase.DRAINING : gate.phase(),
                gate.capacity(),
                gate.warmMs(timers.now())));
        publish();
    }

    /** Publishes the record as it is. */
    void publish() {
        publishedAt = timers.now();
        publish.accept(registry.find(node));
    }

    /** Publishes again if that is due. */
    void repeatIfDue() {
        if (timers.now() - publishedAt > REPEAT_MS) {
            publish();
        }
    }

    /** This sidecar is to end: from now on its endpoint is published as draining. */
    void leave() {
        leaving = true;
        changed();
    }

    /** Whether {@link #leave} was called. */
    boolean isLeaving() {
        return leaving;
    }

    /** Someone has a record of this node: if it is newer than this one's, which is a rumour, it is overtaken. */
    void heard(EndpointRecord other) {
        boolean newer = other.life() > incarnation || other.life() == incarnation && other.seq() > sequence;
        if (newer) {
            incarnation = other.life();
            sequence = other.seq();
            changed();
        }
    }
}
