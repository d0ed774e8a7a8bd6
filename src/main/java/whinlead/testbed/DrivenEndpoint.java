package whinlead.testbed;

/** A stand-in endpoint under a driven clock. */
final class DrivenEndpoint {
    /** How an attempt ended, as the endpoint's side of the connection shows it; a silent one does not end. */
    enum End {
        DONE,
        FULL,
        REFUSED,
        RESET
    }

    /** Is told that the work of an attempt begins, and once how it ended. */
    interface Visitor {
        int classIndex();

        void begins();

        void ends(End end);
    }

    private final EndpointScript script;
    private final DrivenClock clock;
    private final Workshop workshop;

    DrivenEndpoint(EndpointScript script, DrivenClock clock, long seed) {
        this.script = script;
        this.clock = clock;
        this.workshop = new Workshop(script, seed, clock);
        for (EndpointScript.Fault f : script.faults()) {
            if (f.kind() == EndpointScript.Kind.AWAY || f.kind() == EndpointScript.Kind.SILENT) {
                clock.at(f.from(), workshop::die);
            }
        }
    }

    void arrives(Visitor visitor) {
        EndpointScript.Kind fault = script.fault(clock.nowMs());
        if (fault == EndpointScript.Kind.AWAY) {
            visitor.ends(End.REFUSED);
        } else if (fault == EndpointScript.Kind.RESETTING) {
            visitor.begins();
            visitor.ends(End.RESET);
        } else if (fault != EndpointScript.Kind.SILENT) {
            workshop.arrives(new Workshop.Visitor() {
                @Override
                public int classIndex() {
                    return visitor.classIndex();
                }

                @Override
                public void begins() {
                    visitor.begins();
                }

                @Override
                public void ends(Workshop.End end) {
                    leaves(visitor, end);
                }
            });
        }
    }

    private void leaves(Visitor visitor, Workshop.End end) {
        EndpointScript.Kind fault = script.fault(clock.nowMs());
        if (fault == EndpointScript.Kind.SILENT) {
            return;
        }
        boolean spoilt = fault == EndpointScript.Kind.SPOILING;
        visitor.ends(
                switch (end) {
                    case DONE -> spoilt ? End.RESET : End.DONE;
                    case FULL -> End.FULL;
                    case DIED -> End.RESET;
                });
    }
}
