package whinlead.mesh.sidecar;

import java.util.function.Consumer;
import java.util.function.Supplier;
import whinlead.engine.Timers;
import whinlead.mesh.registry.EndpointRecord;
import whinlead.mesh.registry.EndpointRegistry;

/**
 * Publishes this sidecar's own endpoint record: with a higher sequence number whenever it changes, and again at an
 * interval, because messages may be lost. Runs on the loop's thread.
 */
final class RecordPublisher {
    /** Interval at which an unchanged record is published again, in milliseconds. */
    private static final double REPUBLISH_INTERVAL_MS = 3000;

    private final Timers timers;
    private final String node;
    private final String zone;
    private final EndpointGate gate;
    private final Supplier<String> service;
    private final EndpointRegistry registry;
    private final EndpointListRefresher listRefresher;
    private final Consumer<EndpointRecord> publish;
    /** Increases with each start of this sidecar. */
    private long incarnation = System.currentTimeMillis();
    /** Sequence number of the last record of this incarnation. */
    private long sequence;

    private double lastPublishMs;
    private boolean draining;

    /**
     * Creates a publisher that has not published anything yet.
     *
     * @param gate knows the endpoint beside this sidecar
     * @param service returns the endpoint's service
     * @param listRefresher stores the record locally
     * @param publish sends the record to the control nodes
     */
    RecordPublisher(
            Timers timers,
            String node,
            String zone,
            EndpointGate gate,
            Supplier<String> service,
            EndpointRegistry registry,
            EndpointListRefresher listRefresher,
            Consumer<EndpointRecord> publish) {
        this.timers = timers;
        this.node = node;
        this.zone = zone;
        this.gate = gate;
        this.service = service;
        this.registry = registry;
        this.listRefresher = listRefresher;
        this.publish = publish;
    }

    /** Publishes a new record, because something that other nodes need to know has changed. */
    void publishChange() {
        sequence++;
        listRefresher.merge(new EndpointRecord(
                node,
                incarnation,
                sequence,
                zone,
                gate.endpoint(),
                service.get(),
                draining ? EndpointRecord.Phase.DRAINING : gate.phase(),
                gate.capacity(),
                gate.remainingWarmupMs(timers.nowMs())));
        publish();
    }

    /** Publishes the current record. */
    void publish() {
        lastPublishMs = timers.nowMs();
        publish.accept(registry.find(node));
    }

    /** Publishes the current record again if that is due. */
    void republishIfDue() {
        if (timers.nowMs() - lastPublishMs > REPUBLISH_INTERVAL_MS) {
            publish();
        }
    }

    /** Publishes the endpoint as draining from now on, because this sidecar is shutting down. */
    void startDraining() {
        draining = true;
        publishChange();
    }

    /** Whether {@link #startDraining} was called. */
    boolean isDraining() {
        return draining;
    }

    /**
     * Handles a record of this node that another node sent. If it is newer than this sidecar's own it is outdated
     * information from elsewhere, and a record with a higher number is published.
     */
    void supersede(EndpointRecord other) {
        boolean newer = other.life() > incarnation || other.life() == incarnation && other.seq() > sequence;
        if (newer) {
            incarnation = other.life();
            sequence = other.seq();
            publishChange();
        }
    }
}
