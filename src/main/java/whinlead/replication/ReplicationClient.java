package whinlead.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import whinlead.consult.Directive;
import whinlead.consult.Keeper;
import whinlead.engine.Timers;

/**
 * One member's side of the promises: what it has asked its group, who waits for that, and until when. Commands and
 * replies may be lost, late, doubled or out of order: it asks again until it is answered, and takes back what it gave
 * up on, so that nothing stands against the client's next try. It has no clock and no I/O but the engine's timers and
 * {@link Group}. On the engine's thread.
 */
public final class ReplicationClient implements Keeper {
    /** The way to the group, or to that of several which keeps the request that a command is about. */
    public interface Group {
        /** Has a command agreed on; the answer comes once, later, or never. */
        void submit(Command command, Consumer<Reply> answer);

        /** The time of the group that keeps this request, never ahead of it; less than 0 while it is not known. */
        long time(String id);
    }

    /**
     * How long it waits.
     *
     * @param again milliseconds after which it asks again; at least 1
     * @param margin milliseconds that are kept of a request's time for the answer's way to the client
     * @param refuse milliseconds in which a refusal is agreed on, or is none
     * @param report milliseconds in which a report on another's request is answered
     * @param retryAfter milliseconds that are told with what can't be promised: the time in which a group has another
     *     leader
     * @param drain milliseconds for which an endpoint is known to drain
     */
    public record Waits(double again, double margin, double refuse, double report, double retryAfter, long drain) {
        /** Checks the ranges. */
        public Waits {
            if (!(again >= 1)
                    || !(margin >= 0)
                    || !(refuse >= 0)
                    || !(report >= 0)
                    || !(retryAfter >= 0)
                    || drain < 0) {
                throw new IllegalArgumentException("waits out of range");
            }
        }
    }

    /** Hears of every end that is promised, for the tests that hold all members to theirs. */
    @FunctionalInterface
    public interface Witness {
        /** The member tells its caller that the request ended so, for good. */
        void promised(String id, Command.Ending ending);
    }

    private final String owner;
    private final Timers timers;
    private final Waits waits;
    private final Group group;
    private final Witness witness;
    private final Trace trace;
    /** Drains on their way to the group: a list tells one again and again. */
    private final Set<String> telling = new HashSet<>();

    private long lastNumber;

    /**
     * A desk of one life of a member.
     *
     * @param owner the member and this process of it: one that is started again with what its disk holds is another
     *     owner, for it numbers its attempts anew
     */
    public ReplicationClient(String owner, Timers timers, Waits waits, Group group, Witness witness, Trace trace) {
        this.trace = trace;
        this.owner = owner;
        this.timers = timers;
        this.waits = waits;
        this.group = group;
        this.witness = witness;
    }

    @Override
    public Kept open(String id, String caller, boolean keyed, boolean repeat, double endBy) {
        return new Holding(id, caller, keyed ? Command.Guard.KEYED : Command.Guard.UNSAFE, repeat, endBy);
    }

    @Override
    public void report(String id, int attempt, How how, Consumer<Directive> told) {
        Command.How known =
                switch (how) {
                    case NEVER_RAN -> Command.How.NEVER_RAN;
                    case MAY_HAVE_RAN -> Command.How.MAY_HAVE_RAN;
                    case SERVED -> Command.How.SERVED;
                };
        double until = timers.now() + waits.report();
        new Question(
                        new Command.Report(id, attempt, known),
                        until,
                        until,
                        reply -> told.accept(ended(id, reply)),
                        () -> told.accept(null))
                .ask();
    }

    @Override
    public void drains(String endpoint) {
        if (telling.add(endpoint)) {
            double until = timers.now() + waits.drain();
            new Question(
                            new Command.Drain(endpoint, waits.drain()),
                            until,
                            until,
                            reply -> telling.remove(endpoint),
                            () -> telling.remove(endpoint))
                    .ask();
        }
    }

    private Directive ended(String id, Reply reply) {
        if (!(reply instanceof Reply.Over over)) {
            return null;
        }
        trace.step(id, Trace.Step.ENDED, over.ending().name());
        witness.promised(id, over.ending());
        return directive(over.ending());
    }

    private static Directive directive(Command.Ending ending) {
        return switch (ending) {
            case SERVED -> new Directive.Served();
            case REFUSED -> new Directive.Refused(0);
            case FAILED -> new Directive.Failed();
        };
    }

    private static Command.Ending ending(Directive how) {
        return how instanceof Directive.Served
                ? Command.Ending.SERVED
                : how instanceof Directive.Refused ? Command.Ending.REFUSED : Command.Ending.FAILED;
    }

    /** A command that is asked until it is answered or nobody wants to know any more. */
    private final class Question {
        /** Null while it can't be asked yet. */
        private final Supplier<Command> command;

        private final double patience;
        private final double until;
        private Consumer<Reply> answered;
        private Runnable givenUp;
        private boolean over;
        private Timers.Timer again = () -> {};
        private Timers.Timer end;

        /** It is asked until {@code until}; from {@code patience} on, nobody waits for the answer. */
        private Question(Command command, double patience, double until, Consumer<Reply> answered, Runnable givenUp) {
            this(() -> command, patience, until, answered, givenUp);
        }

        private Question(
                Supplier<Command> command, double patience, double until, Consumer<Reply> answered, Runnable givenUp) {
            this.command = command;
            this.patience = patience;
            this.until = until;
            this.answered = answered;
            this.givenUp = givenUp;
        }

        private Question ask() {
            end = timers.after(Math.max(0, patience - timers.now()), () -> {
                answered = null;
                if (!over) {
                    givenUp.run();
                }
            });
            submit();
            return this;
        }

        private void submit() {
            // Past its time it is only asked no more: whoever waits is told by the other timer, which a
            // process that stood still may come to later.
            if (over || timers.now() > until) {
                return;
            }
            again = timers.after(waits.again(), this::submit);
            Command asked = command.get();
            if (asked != null) {
                group.submit(asked, this::hear);
            }
        }

        private void hear(Reply reply) {
            if (over) {
                return;
            }
            Consumer<Reply> listener = answered;
            stop();
            if (listener != null) {
                listener.accept(reply);
            }
        }

        /** It is asked no more, and nobody hears anything. */
        private void stop() {
            over = true;
            answered = null;
            again.cancel();
            end.cancel();
        }
    }

    /** A request of this member's. */
    private final class Holding implements Kept {
        private final String id;
        private final String caller;
        private final Command.Guard guard;
        private final boolean repeat;
        private final double endBy;
        private final List<Long> neverRan = new ArrayList<>(1);
        /** The attempt that is asked about; null while none is. */
        private Question asking;

        private Command.Attempt attempt;
        private boolean letOut;

        private Holding(String id, String caller, Command.Guard guard, boolean repeat, double endBy) {
            this.repeat = repeat;
            this.id = id;
            this.caller = caller;
            this.guard = guard;
            this.endBy = endBy;
        }

        private long left() {
            return (long) Math.max(0, Math.ceil(endBy - timers.now()));
        }

        @Override
        public void allow(String endpoint, double valid, Consumer<Verdict> told) {
            double now = timers.now();
            double patience = Math.min(valid, endBy - waits.margin() - now);
            Command.Attempt mine = new Command.Attempt(owner, ++lastNumber);
            attempt = mine;
            // The time is up by this member's clock, whatever the group's time says: it may have stood still.
            double latest = now + patience;
            Supplier<Command> command = new Supplier<>() {
                private Command made;

                @Override
                public Command get() {
                    long time = made == null ? group.time(id) : 0;
                    if (made == null && time >= 0) {
                        long until = time + (long) Math.max(0, latest - timers.now());
                        made = new Command.Allow(id, caller, guard, mine, neverRan, endpoint, left(), until, repeat);
                    }
                    return made;
                }
            };
            trace.step(id, Trace.Step.ASKED, endpoint);
            asking = new Question(
                            command,
                            latest,
                            latest,
                            reply -> {
                                asking = null;
                                answered(reply, mine, latest, told);
                            },
                            () -> {
                                asking = null;
                                trace.step(id, Trace.Step.GIVEN_UP, endpoint);
                                takeBack(mine);
                                told.accept(new Verdict.Unknown());
                            })
                    .ask();
        }

        private void answered(Reply reply, Command.Attempt mine, double latest, Consumer<Verdict> told) {
            if (reply instanceof Reply.Granted granted && timers.now() <= latest) {
                letOut = true;
                trace.step(id, Trace.Step.GRANTED, Integer.toString(granted.index()));
                told.accept(new Verdict.Granted(granted.index()));
                return;
            }
            trace.step(id, Trace.Step.DENIED, reply.getClass().getSimpleName());
            if (reply instanceof Reply.Over) {
                told.accept(new Verdict.Over(ended(id, reply)));
            } else if (reply instanceof Reply.Drains) {
                told.accept(new Verdict.Draining());
            } else if (reply instanceof Reply.Out) {
                told.accept(new Verdict.Out());
            } else {
                if (reply instanceof Reply.Granted) {
                    // This process stood still: what was good to send then may not be now.
                    takeBack(mine);
                }
                neverRan.add(mine.number());
                asking = never(new Directive.Refused(waits.retryAfter()), end -> {
                    asking = null;
                    told.accept(new Verdict.Over(end));
                });
            }
        }

        // Nobody was told of it. The group is to know, or it would stand against the client's next try.
        private void takeBack(Command.Attempt mine) {
            trace.step(id, Trace.Step.TAKEN_BACK, "");
            double until = Math.max(endBy, timers.now() + waits.report());
            new Question(new Command.Withdraw(id, mine, left()), until, until, reply -> {}, () -> {}).ask();
        }

        @Override
        public void cancel() {
            if (asking != null) {
                asking.stop();
                asking = null;
                takeBack(attempt);
            }
        }

        @Override
        public void neverRan() {
            neverRan.add(attempt.number());
        }

        // A refusal says that nothing ran and, while the client may send it again, that nothing will.
        private Question never(Directive how, Consumer<Directive> told) {
            trace.step(id, Trace.Step.REFUSING, "");
            double latest = Math.min(endBy - waits.margin(), timers.now() + waits.refuse());
            Command.Refuse command = new Command.Refuse(id, caller, guard, owner, neverRan, left());
            return new Question(
                            command,
                            latest,
                            latest,
                            reply -> {
                                Directive agreed = ended(id, reply);
                                told.accept(
                                        reply instanceof Reply.Out
                                                ? new Directive.AlreadyOut()
                                                : agreed == null || agreed instanceof Directive.Refused ? how : agreed);
                            },
                            () -> told.accept(new Directive.Failed()))
                    .ask();
        }

        @Override
        public void end(Directive how, Consumer<Directive> told) {
            if (!letOut) {
                if (how instanceof Directive.Refused) {
                    never(how, told);
                } else {
                    told.accept(how);
                }
                return;
            }
            double patience = endBy - waits.margin();
            double until = Math.max(endBy, timers.now() + waits.report());
            trace.step(id, Trace.Step.ENDING, ending(how).name());
            Command.End command = new Command.End(id, ending(how), owner, neverRan);
            new Question(
                            command,
                            patience,
                            until,
                            reply -> {
                                Directive agreed = ended(id, reply);
                                told.accept(agreed == null || agreed.getClass() == how.getClass() ? how : agreed);
                            },
                            () -> told.accept(how))
                    .ask();
        }
    }
}
