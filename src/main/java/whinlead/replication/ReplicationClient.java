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
 * One member's client of its group: tracks the commands that it has submitted, who waits for each reply, and until
 * when. Commands and replies may be lost, late, duplicated or out of order: it resubmits a command until a reply
 * arrives, and withdraws attempts that it has given up, so that they don't block the client's retry. Its only clock and
 * I/O are the engine's timers and {@link Group}. On the engine's thread.
 */
public final class ReplicationClient implements Keeper {
    /** Access to the group, or to the one of several groups that is responsible for a command's request. */
    public interface Group {
        /** Proposes a command; the listener is called later, at most once. */
        void submit(Command command, Consumer<Reply> listener);

        /**
         * The time of the group that is responsible for this request, never ahead of the actual one; less than 0 while
         * unknown.
         */
        long time(String id);
    }

    /**
     * Timeouts, in milliseconds.
     *
     * @param resubmitMs after which an unanswered command is submitted again; at least 1
     * @param marginMs part of a request's time that is reserved for the response's way to the client
     * @param refuseMs within which the group has to agree on a refusal
     * @param reportMs within which a report on another member's request is answered
     * @param retryAfterMs Retry-After value of refusals for lack of a grant: the time within which a group elects
     *     another leader
     * @param drainMs for which an endpoint is known to drain
     */
    public record Timeouts(
            double resubmitMs, double marginMs, double refuseMs, double reportMs, double retryAfterMs, long drainMs) {
        /** Checks the ranges. */
        public Timeouts {
            if (!(resubmitMs >= 1)
                    || !(marginMs >= 0)
                    || !(refuseMs >= 0)
                    || !(reportMs >= 0)
                    || !(retryAfterMs >= 0)
                    || drainMs < 0) {
                throw new IllegalArgumentException("timeouts out of range");
            }
        }
    }

    /** Listens to every ending that is reported to a caller; tests check with it that no member contradicts another. */
    @FunctionalInterface
    public interface EndingListener {
        /** The member tells its caller that the request has ended in this way, which is final. */
        void endingConfirmed(String id, Command.Ending ending);
    }

    private final String owner;
    private final Timers timers;
    private final Timeouts timeouts;
    private final Group group;
    private final EndingListener endingListener;
    private final Trace trace;
    /** Endpoints whose drain is being submitted: endpoint lists repeat a drain many times. */
    private final Set<String> drainsInProgress = new HashSet<>();

    private long lastNumber;

    /**
     * A client for one process of a member.
     *
     * @param owner identifies the member and this process of it: a process that is restarted with its disk is another
     *     owner, since it numbers its attempts from the start
     */
    public ReplicationClient(
            String owner, Timers timers, Timeouts timeouts, Group group, EndingListener endingListener, Trace trace) {
        this.trace = trace;
        this.owner = owner;
        this.timers = timers;
        this.timeouts = timeouts;
        this.group = group;
        this.endingListener = endingListener;
    }

    @Override
    public SharedRequest open(String id, String caller, boolean keyed, boolean repeat, double deadlineMs) {
        return new ClientRequest(id, caller, keyed ? Command.Guard.KEYED : Command.Guard.UNSAFE, repeat, deadlineMs);
    }

    @Override
    public void report(String id, int attempt, RunResult outcome, Consumer<Directive> listener) {
        Command.AttemptOutcome reported =
                switch (outcome) {
                    case NEVER_RAN -> Command.AttemptOutcome.NEVER_RAN;
                    case MAY_HAVE_RAN -> Command.AttemptOutcome.MAY_HAVE_RAN;
                    case SERVED -> Command.AttemptOutcome.SERVED;
                };
        double untilMs = timers.nowMs() + timeouts.reportMs();
        new PendingCommand(
                        new Command.Report(id, attempt, reported),
                        untilMs,
                        untilMs,
                        reply -> listener.accept(outcome(id, reply)),
                        () -> listener.accept(null))
                .start();
    }

    @Override
    public void endpointDraining(String endpoint) {
        if (drainsInProgress.add(endpoint)) {
            double untilMs = timers.nowMs() + timeouts.drainMs();
            new PendingCommand(
                            new Command.Drain(endpoint, timeouts.drainMs()),
                            untilMs,
                            untilMs,
                            reply -> drainsInProgress.remove(endpoint),
                            () -> drainsInProgress.remove(endpoint))
                    .start();
        }
    }

    private Directive outcome(String id, Reply reply) {
        if (!(reply instanceof Reply.Over over)) {
            return null;
        }
        trace.step(id, Trace.Step.ENDED, over.ending().name());
        endingListener.endingConfirmed(id, over.ending());
        return directive(over.ending());
    }

    private static Directive directive(Command.Ending ending) {
        return switch (ending) {
            case SERVED -> new Directive.Served();
            case REFUSED -> new Directive.Refused(0);
            case FAILED -> new Directive.Failed();
        };
    }

    private static Command.Ending ending(Directive directive) {
        return directive instanceof Directive.Served
                ? Command.Ending.SERVED
                : directive instanceof Directive.Refused ? Command.Ending.REFUSED : Command.Ending.FAILED;
    }

    /** A command that is resubmitted until a reply arrives or its time is over. */
    private final class PendingCommand {
        /** Supplies null while the command can't be submitted yet. */
        private final Supplier<Command> command;

        private final double deadlineMs;
        private final double resubmitUntilMs;
        private Consumer<Reply> replyListener;
        private Runnable timeoutListener;
        private boolean done;
        private Timers.TimerHandle resubmitTimer = () -> {};
        private Timers.TimerHandle deadlineTimer;

        /** Resubmits until {@code resubmitUntilMs}; after {@code deadlineMs} nobody waits for the reply. */
        private PendingCommand(
                Command command,
                double deadlineMs,
                double resubmitUntilMs,
                Consumer<Reply> replyListener,
                Runnable timeoutListener) {
            this(() -> command, deadlineMs, resubmitUntilMs, replyListener, timeoutListener);
        }

        private PendingCommand(
                Supplier<Command> command,
                double deadlineMs,
                double resubmitUntilMs,
                Consumer<Reply> replyListener,
                Runnable timeoutListener) {
            this.command = command;
            this.deadlineMs = deadlineMs;
            this.resubmitUntilMs = resubmitUntilMs;
            this.replyListener = replyListener;
            this.timeoutListener = timeoutListener;
        }

        private PendingCommand start() {
            deadlineTimer = timers.schedule(Math.max(0, deadlineMs - timers.nowMs()), () -> {
                replyListener = null;
                if (!done) {
                    timeoutListener.run();
                }
            });
            submit();
            return this;
        }

        private void submit() {
            // Past its time the command is only no longer resubmitted: the deadline timer notifies the waiting
            // caller, and may run later than this one after the process was suspended.
            if (done || timers.nowMs() > resubmitUntilMs) {
                return;
            }
            resubmitTimer = timers.schedule(timeouts.resubmitMs(), this::submit);
            Command submitted = command.get();
            if (submitted != null) {
                group.submit(submitted, this::receiveReply);
            }
        }

        private void receiveReply(Reply reply) {
            if (done) {
                return;
            }
            Consumer<Reply> listener = replyListener;
            stop();
            if (listener != null) {
                listener.accept(reply);
            }
        }

        /** Stops resubmitting; no listener is called any more. */
        private void stop() {
            done = true;
            replyListener = null;
            resubmitTimer.cancel();
            deadlineTimer.cancel();
        }
    }

    /** A request that this member handles. */
    private final class ClientRequest implements SharedRequest {
        private final String id;
        private final String caller;
        private final Command.Guard guard;
        private final boolean repeat;
        private final double deadlineMs;
        private final List<Long> neverRan = new ArrayList<>(1);
        /** The command that waits for the group's reply; null if none does. */
        private PendingCommand pendingCommand;

        private Command.Attempt lastAttempt;
        private boolean granted;

        private ClientRequest(String id, String caller, Command.Guard guard, boolean repeat, double deadlineMs) {
            this.repeat = repeat;
            this.id = id;
            this.caller = caller;
            this.guard = guard;
            this.deadlineMs = deadlineMs;
        }

        private long remainingMs() {
            return (long) Math.max(0, Math.ceil(deadlineMs - timers.nowMs()));
        }

        @Override
        public void requestAttempt(String endpoint, double validMs, Consumer<Verdict> listener) {
            double nowMs = timers.nowMs();
            double waitMs = Math.min(validMs, deadlineMs - timeouts.marginMs() - nowMs);
            Command.Attempt attempt = new Command.Attempt(owner, ++lastNumber);
            lastAttempt = attempt;
            // The validity ends by this member's own clock, whatever the group's time is: that may have stopped.
            double latestMs = nowMs + waitMs;
            Supplier<Command> command = new Supplier<>() {
                private Command created;

                @Override
                public Command get() {
                    long groupTimeMs = created == null ? group.time(id) : 0;
                    if (created == null && groupTimeMs >= 0) {
                        long validUntilMs = groupTimeMs + (long) Math.max(0, latestMs - timers.nowMs());
                        created = new Command.Allow(
                                id, caller, guard, attempt, neverRan, endpoint, remainingMs(), validUntilMs, repeat);
                    }
                    return created;
                }
            };
            trace.step(id, Trace.Step.ASKED, endpoint);
            pendingCommand = new PendingCommand(
                            command,
                            latestMs,
                            latestMs,
                            reply -> {
                                pendingCommand = null;
                                receiveReply(reply, attempt, latestMs, listener);
                            },
                            () -> {
                                pendingCommand = null;
                                trace.step(id, Trace.Step.GIVEN_UP, endpoint);
                                withdraw(attempt);
                                listener.accept(new Verdict.Unknown());
                            })
                    .start();
        }

        private void receiveReply(Reply reply, Command.Attempt attempt, double latestMs, Consumer<Verdict> listener) {
            if (reply instanceof Reply.Granted grant && timers.nowMs() <= latestMs) {
                granted = true;
                trace.step(id, Trace.Step.GRANTED, Integer.toString(grant.index()));
                listener.accept(new Verdict.Granted(grant.index()));
                return;
            }
            trace.step(id, Trace.Step.DENIED, reply.getClass().getSimpleName());
            if (reply instanceof Reply.Over) {
                listener.accept(new Verdict.Over(outcome(id, reply)));
            } else if (reply instanceof Reply.Drains) {
                listener.accept(new Verdict.Draining());
            } else if (reply instanceof Reply.Out) {
                listener.accept(new Verdict.Out());
            } else {
                if (reply instanceof Reply.Granted) {
                    // This process was suspended: the attempt was valid to send then but may not be now.
                    withdraw(attempt);
                }
                neverRan.add(attempt.number());
                pendingCommand = refuse(new Directive.Refused(timeouts.retryAfterMs()), end -> {
                    pendingCommand = null;
                    listener.accept(new Verdict.Over(end));
                });
            }
        }

        // The caller was not told of the attempt. The group has to know, or the attempt would block the client's retry.
        private void withdraw(Command.Attempt attempt) {
            trace.step(id, Trace.Step.TAKEN_BACK, "");
            double untilMs = Math.max(deadlineMs, timers.nowMs() + timeouts.reportMs());
            new PendingCommand(
                            new Command.Withdraw(id, attempt, remainingMs()), untilMs, untilMs, reply -> {}, () -> {})
                    .start();
        }

        @Override
        public void cancel() {
            if (pendingCommand != null) {
                pendingCommand.stop();
                pendingCommand = null;
                withdraw(lastAttempt);
            }
        }

        @Override
        public void neverRan() {
            neverRan.add(lastAttempt.number());
        }

        // A refusal states that no attempt has run and that none will run while the client may retry.
        private PendingCommand refuse(Directive directive, Consumer<Directive> listener) {
            trace.step(id, Trace.Step.REFUSING, "");
            double latestMs = Math.min(deadlineMs - timeouts.marginMs(), timers.nowMs() + timeouts.refuseMs());
            Command.Refuse command = new Command.Refuse(id, caller, guard, owner, neverRan, remainingMs());
            return new PendingCommand(
                            command,
                            latestMs,
                            latestMs,
                            reply -> {
                                Directive agreed = outcome(id, reply);
                                listener.accept(
                                        reply instanceof Reply.Out
                                                ? new Directive.AlreadyOut()
                                                : agreed == null || agreed instanceof Directive.Refused
                                                        ? directive
                                                        : agreed);
                            },
                            () -> listener.accept(new Directive.Failed()))
                    .start();
        }

        @Override
        public void end(Directive directive, Consumer<Directive> listener) {
            if (!granted) {
                if (directive instanceof Directive.Refused) {
                    refuse(directive, listener);
                } else {
                    listener.accept(directive);
                }
                return;
            }
            double replyDeadlineMs = deadlineMs - timeouts.marginMs();
            double untilMs = Math.max(deadlineMs, timers.nowMs() + timeouts.reportMs());
            trace.step(id, Trace.Step.ENDING, ending(directive).name());
            Command.End command = new Command.End(id, ending(directive), owner, neverRan);
            new PendingCommand(
                            command,
                            replyDeadlineMs,
                            untilMs,
                            reply -> {
                                Directive agreed = outcome(id, reply);
                                listener.accept(
                                        agreed == null || agreed.getClass() == directive.getClass()
                                                ? directive
                                                : agreed);
                            },
                            () -> listener.accept(directive))
                    .start();
        }
    }
}
