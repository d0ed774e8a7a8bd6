// Every decision of cobaltrack; its interface (settings, events, actions) is Contract.java, beside this file.
package cobaltrack;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides for one sidecar.
 *
 * <p>For each server a drop percentage is learned from this sidecar's own outcomes. A request walks a small
 * random subset in random order; the first server whose draw passes gets it, and if none passes it is
 * refused at once. docs/design.md names what is kept of the source and when each exception acts.
 */
public final class Decide implements Contract.Events {
    // --- the controller --------------------------------------------------------------------------
    // A period, as a share of the shortest aim, and the least: several steps fit in a client's wait.
    private static final double PERIOD_OF_AIM = 0.1;
    private static final double PERIOD_LEAST = 10;
    // The share not accepted that is let be; chance alone gives this much near a sound load.
    private static final double TARGET = 0.2;
    // How far one bad period takes the percentage on towards 100; the whole of it from so much excess on.
    private static final double STEP_UP = 0.5;
    private static final double STEP_WHOLE_AT = 0.5;
    // What a good or an idle period takes off: this part of what passes, and a little for a server shut out
    // wholly. By fixed steps a jammed server would get far too much before the first outcome tells.
    private static final double STEP_DOWN = 0.08;
    private static final double STEP_DOWN_LEAST = 0.004;
    // What stays of the evidence from period to period, so that 0 to 2 outcomes a period still add up.
    private static final double KEEP = 0.7;
    // Outcomes of the whole subset that stand in for a server's own: one bad answer is no trend, and with few
    // outcomes what all servers show together is the only sign of an overload.
    private static final double PRIOR = 2.0;
    // What the subset does not accept beyond this counts: single servers' troubles stay theirs.
    private static final double POOL_TARGET = 0.25;
    // What stays of the subset's evidence from one period to the next: about a second of outcomes.
    private static final double POOL_KEEP = 0.95;
    // An answer is late by degrees, from the usual time of its class to this multiple of it: against the aim
    // alone a queue is seen only when it has already cost the answers in it.
    private static final double LATE_FULL = 5;
    // Weight of an answer in its class's recent time, and of a period's drift of the usual one upwards.
    private static final double RECENT = 0.05;
    private static final double DRIFT = 0.0003;
    // What the usual time is taken to be before any answer, as a share of the aim.
    private static final double FIRST_USUAL = 0.3;
    // Weight of a period in the rates of sends and of work answered; what stays of the mix of worths.
    private static final double SEND_WEIGHT = 0.1;
    private static final double WELL_WEIGHT = 0.2;
    private static final double MIX_KEEP = 0.98;
    // Attempts out looked at in one server in one period; keeps a period's work bounded.
    private static final int LOOK = 64;
    // Weight of an outcome in what a server fails of a class, and what stays of that from period to period.
    private static final double FAIL_WEIGHT = 0.5;
    private static final double FAIL_KEEP = 0.998;
    // --- crowding --------------------------------------------------------------------------------
    // What is out at a server beyond the subset's mean is drawn against, with this slack.
    private static final double CROWD_SLACK = 0.5;
    // Likewise what is out beyond this multiple of what a server, at the rate it answers, holds when well.
    private static final double CROWD_WELL = 1;
    // A server that reports a busy share under this may hold more than that, up to so many times as much.
    private static final double ROOM_BELOW = 0.75;
    private static final double ROOM_MOST = 2.5;
    // A server is taken to hold so many when well, whatever it answered: one attempt out is no crowd.
    private static final double WELL_LEAST = 1;
    // From so many later attempts on that its server served, each in this part of the time that it has been
    // out, an attempt tells nothing of a queue. With less, long work in shared cores would pass for lost and
    // the servers be overdriven.
    private static final double OVERTAKEN_PART = 0.3;
    private static final int OVERTAKEN = 2;
    // --- reports ---------------------------------------------------------------------------------
    // The busy share that is wanted; beyond it a report counts as this many outcomes not accepted in part.
    private static final double UTIL_WANTED = 0.9;
    private static final int REPORT_OUTCOMES = 3;
    // A busy share under or over these is nonsense, or too small to divide by.
    private static final double UTIL_LEAST = 0.1;
    private static final double UTIL_MOST = 1.5;
    // A sidecar that itself sends one in this many of a server's requests knows its load without reports.
    private static final double SEEN_ENOUGH = 4;
    // Weight of a report in the size of a server.
    private static final double SIZE_WEIGHT = 0.2;
    // What probes may cost, in the site's own price for a probe a request, and the most of them a request.
    private static final double PROBE_SPEND = 0.008;
    private static final double PROBES_MOST = 8;
    // Weight of a period in the rate at which requests pay for probes.
    private static final double PROBE_WEIGHT = 0.02;
    // --- the subset ------------------------------------------------------------------------------
    // The least subset. While all sidecars together open fewer than so many connections a server there is
    // room for so many servers, and so many for each attempt out. In a large fleet a wide subset costs
    // handshakes, fills the servers' tables and leaves a light sidecar no evidence on any one server.
    private static final int SUBSET_LEAST = 3;
    private static final double CONNECTIONS = 12;
    private static final double SUBSET_FREE = 8;
    private static final double FREE_PER_HELD = 2;
    // How fast the attempts that size the subset follow a rise, and a fall, in a period.
    private static final double WIDTH_RISE = 0.2;
    private static final double WIDTH_FALL = 0.01;
    // --- attempts and refusals -------------------------------------------------------------------
    // Further attempts earned by each request, and how many may be saved up: they must not multiply a jam.
    private static final double RETRY_EARN = 0.15;
    private static final double RETRY_SAVE = 10;
    // Retry-after, as shares of the aim: the least, and what a percentage of 100 adds.
    private static final double AFTER_LEAST = 0.15;
    private static final double AFTER_FULL = 0.3;
    // --- cold servers ----------------------------------------------------------------------------
    // Of what a warm server gets, times the guessed cold fraction, a cold one gets at most this much.
    private static final double COLD_RATE = 1.5;
    // The most tokens saved up: one request and a half, so that hundreds of half-full buckets are no burst.
    private static final double COLD_SAVE = 1.5;
    // Weight of a period in the rate that a warm server gets, and the percentage from which it is
    // not counted.
    private static final double WARM_WEIGHT = 0.05;
    private static final double WARM_SHUT = 0.5;
    // --- the list --------------------------------------------------------------------------------
    // Waits before asking for the list again, doubled up to the longest.
    private static final double ASK_FIRST = 300;
    private static final double ASK_LONGEST = 4000;
    // All sidecars' calls are spread over so much time each, at most over this share of the time after which
    // one that has not asked counts as told.
    private static final double ASK_EACH = 10;
    private static final double ASK_SPREAD_MOST = 0.4;

    private static final double SECOND = 1000;

    private final Contract.Settings settings;
    private final Contract.Actions out;
    private final SplittableRandom random;
    private final long salt;
    private final Contract.RequestClass[] classes;
    private final double period;
    // Worth levels, lowest first: the level of each class within and over its tenant's share.
    private final int[] levelWithin;
    private final int[] levelOver;
    private final double[] mix;
    private final double[] below;
    private final double[] tenantSeen;
    // Recent mean time of each class's answers, and the usual one: the lowest that the recent one has been.
    private final double[] recent;
    private final double[] usual;
    private double seen;

    private final Map<String, Node> nodes = new LinkedHashMap<>();
    // The subset, in whatever order the last walk left it, and in its order of rank.
    private Node[] subset = new Node[0];
    private Node[] ranked = subset;
    // Every server that the list calls up.
    private Node[] usable = subset;
    private double retryTokens = RETRY_SAVE / 2;
    private double askAt = Double.NaN;
    private double askWait = ASK_FIRST;
    private boolean asked;
    private double lastWake;
    // What the subset holds when well, for the traffic it lately got; what it does hold; the size for that.
    private double width;
    private double held;
    private int subsetSize = SUBSET_LEAST;
    // Mean of what the servers of the subset hold, as of the walk under way.
    private double meanHeld;
    private final double shortestAim;
    private final double probesPerRequest;
    private double probeTokens;
    private double probeEarned;
    private double probeRate;
    private double warmRate;
    // The subset's evidence, and its answers' usual and real times.
    private double poolBad;
    private double poolAll;
    private double poolUsual = 1;
    private double poolTook = 1;
    // Falling keeps pace with the outcomes: slower by as much as the answers take longer than usual.
    private double pace = 1;
    private int probeNext;

    // A server as this sidecar knows it.
    private static final class Node {
        Contract.Server entry;
        double percentage;
        double bad;
        double all;
        double sends;
        double sendRate;
        double answered;
        double wellHeld;
        double tokens;
        double tokensAt;
        // The start of its process: an entry that goes back in it is of an older list.
        double startedAt;
        boolean usable;
        boolean listed;
        int holds;
        // How many of those were overtaken.
        int stuck;
        // What it last reported to hold, when, and our own sends less outcomes since then.
        double reported;
        double reportedAt = Double.NEGATIVE_INFINITY;
        int since;
        long rank;
        Attempt oldest;
        Attempt newest;
        // The percentage of each class for the errors it met here; null while there were none.
        double[] failing;
        // Requests a second it could serve, by its reports, and its size against the largest of the subset.
        double capacity;
        double weight = 1;
        // The busy share it lately reported.
        double util = 1;
        // When it last left the subset.
        double leftAt;
    }

    // A request and its attempts.
    private static final class Call {
        Contract.Request request;
        int level;
        double aimAt;
        double endAt;
        Attempt[] attempts = new Attempt[2];
        int count;
        boolean ended;
        // The first attempt that may have run; null while every one is known not to have.
        Attempt mayHaveRun;
    }

    // One attempt, in the list of those out at its server, oldest first.
    private static final class Attempt {
        Call call;
        Node node;
        double sentAt;
        boolean out;
        // True once an attempt sent later to the same server was served; how many were far faster.
        boolean passed;
        int overtaken;
        Attempt older;
        Attempt newer;
    }

    /** A module for one sidecar. */
    public Decide(Contract.Settings settings, long seed, Contract.Actions out) {
        this.settings = settings;
        this.out = out;
        this.random = new SplittableRandom(seed);
        this.salt = random.nextLong();
        this.classes = settings.classes().toArray(new Contract.RequestClass[0]);
        double shortest = Double.MAX_VALUE;
        for (Contract.RequestClass c : classes) {
            shortest = Math.min(shortest, c.aim());
        }
        this.period = Math.max(PERIOD_LEAST, shortest * PERIOD_OF_AIM);
        this.recent = new double[classes.length];
        this.usual = new double[classes.length];
        for (int i = 0; i < classes.length; i++) {
            recent[i] = classes[i].aim() * FIRST_USUAL;
            usual[i] = recent[i];
        }
        this.shortestAim = shortest;
        this.probesPerRequest = settings.limits().probes()
                && settings.reporting() == Contract.Reporting.WITH_PROBES
                ? Math.min(PROBES_MOST, PROBE_SPEND / Math.max(1e-9, settings.limits().probeCost())) : 0;
        this.levelWithin = new int[classes.length];
        this.levelOver = new int[classes.length];
        int levels = rankLevels();
        this.mix = new double[levels];
        this.below = new double[levels + 1];
        this.tenantSeen = new double[settings.tenants().size()];
    }

    private int rankLevels() {
        int n = classes.length;
        double[] worths = new double[2 * n];
        for (int i = 0; i < n; i++) {
            worths[i] = classes[i].worth();
            worths[n + i] = classes[i].worth() * settings.overShareWorth();
        }
        double[] levels = Arrays.stream(worths).sorted().distinct().toArray();
        for (int i = 0; i < n; i++) {
            levelWithin[i] = Arrays.binarySearch(levels, worths[i]);
            levelOver[i] = Arrays.binarySearch(levels, worths[n + i]);
        }
        return levels.length;
    }

    @Override
    public void start(double now) {
        lastWake = now;
        if (settings.listMustBeAsked()) {
            askAt = now + askSpread() * random.nextDouble();
        }
        out.wake(now + period * (0.5 + random.nextDouble()));
    }

    // --- following the list ----------------------------------------------------------------------

    @Override
    public void servers(double now, Contract.ListKind kind, List<Contract.Server> entries) {
        if (kind == Contract.ListKind.FAILED) {
            // A list service that starts or comes back must not be met by every sidecar at once: it would
            // turn most away, and they would keep it so. Spread by their number, and doubled waits.
            askAt = now + askWait * (0.5 + random.nextDouble()) + askSpread() * random.nextDouble();
            if (askWait == ASK_FIRST) {
                out.log("server list out of reach: deciding on the last one");
            }
            askWait = Math.min(ASK_LONGEST, askWait * 2);
            return;
        }
        if (kind != Contract.ListKind.STALE && asked) {
            if (askWait > ASK_FIRST) {
                out.log("server list back in reach");
            }
            askAt = Double.NaN;
            askWait = ASK_FIRST;
        }
        if (kind != Contract.ListKind.CHANGES) {
            for (Node n : nodes.values()) {
                n.usable = false;
                n.listed = false;
            }
        }
        for (Contract.Server e : entries) {
            learn(now, e);
        }
        // What is off the list goes at once or with its last attempt: nothing piles up over rolling deploys.
        nodes.values().removeIf(n -> !n.listed && n.oldest == null);
        pickSubset(now);
    }

    private double askSpread() {
        return Math.min(settings.obligations().askWithin() * ASK_SPREAD_MOST, settings.sidecars() * ASK_EACH);
    }

    private void learn(double now, Contract.Server e) {
        Node n = nodes.get(e.id());
        if (n == null) {
            n = new Node();
            n.rank = mixBits(salt ^ hash(e.id()));
            n.tokensAt = now;
            n.startedAt = e.startedAt();
            nodes.put(e.id(), n);
        } else if (e.startedAt() > n.startedAt) {
            // A restarted process owes nothing to the past of the one before; the cold ramp guards it.
            n.percentage = 0;
            n.bad = 0;
            n.all = 0;
            n.failing = null;
            n.capacity = 0;
            n.tokens = 0;
            n.tokensAt = now;
            n.startedAt = e.startedAt();
        }
        n.entry = e;
        n.usable = e.standing() == Contract.Standing.UP;
        n.listed = e.standing() != Contract.Standing.GONE;
    }

    private void pickSubset(double now) {
        ArrayList<Node> up = new ArrayList<>();
        for (Node n : nodes.values()) {
            if (n.usable) {
                up.add(n);
            }
        }
        up.sort((a, b) -> a.rank != b.rank ? Long.compare(a.rank, b.rank)
                : a.entry.id().compareTo(b.entry.id()));
        usable = up.toArray(new Node[0]);
        for (Node n : ranked) {
            n.leftAt = now;
        }
        subsetSize = subsetWanted();
        ranked = up.subList(0, Math.min(up.size(), subsetSize)).toArray(new Node[0]);
        subset = ranked.clone();
        for (Node n : ranked) {
            idle(n, (now - n.leftAt) / period);
        }
        weigh();
    }

    // Out of the subset no period is spent on a server; it falls on its return by as many as it was away.
    private static void idle(Node n, double periods) {
        if (periods >= 1) {
            double most = STEP_DOWN_LEAST / STEP_DOWN;
            double passing = (1 - n.percentage + most) * Math.pow(1 + STEP_DOWN, periods) - most;
            n.percentage = Math.max(0, 1 - passing);
            n.bad = 0;
            n.all = 0;
        }
    }

    // Each server's size against the largest of the subset: by its reports, else by the list.
    private void weigh() {
        double size = 0;
        double capacity = 0;
        for (Node n : ranked) {
            size = Math.max(size, n.entry.size());
            capacity = Math.max(capacity, n.capacity);
        }
        for (Node n : ranked) {
            n.weight = n.capacity > 0 ? n.capacity / capacity : size > 0 ? n.entry.size() / size : 1;
        }
    }

    // As many as the traffic holds attempts when well. What is out counts only while there is room for its
    // connections: in a large fleet a jam would widen every subset, and the wider subsets keep the jam.
    private int subsetWanted() {
        double room = usable.length * CONNECTIONS / Math.max(1, settings.sidecars());
        double free = Math.min(room, Math.max(SUBSET_FREE, FREE_PER_HELD * held));
        return (int) Math.ceil(Math.max(width, Math.max(SUBSET_LEAST, free)));
    }

    private static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return h;
    }

    private static long mixBits(long z) {
        z = (z ^ (z >>> 33)) * 0xff51afd7ed558ccdL;
        z = (z ^ (z >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return z ^ (z >>> 33);
    }

    // --- requests --------------------------------------------------------------------------------

    @Override
    public void request(double now, Contract.Request request) {
        if (request.state != null) {
            return;
        }
        Call c = new Call();
        c.request = request;
        request.state = c;
        c.level = levelOf(request);
        mix[c.level]++;
        c.aimAt = now + classes[request.classIndex].aim();
        c.endAt = now + request.timeLeft;
        retryTokens = Math.min(RETRY_SAVE, retryTokens + RETRY_EARN);
        probeEarned += probesPerRequest;
        place(now, c);
    }

    // Traffic of a tenant beyond its share counts at the lower worth; the excess is chosen by chance.
    private int levelOf(Contract.Request r) {
        int k = r.classIndex;
        int t = r.tenantIndex;
        if (t < 0) {
            return levelWithin[k];
        }
        seen++;
        tenantSeen[t]++;
        double fraction = tenantSeen[t] / seen;
        double share = settings.tenants().get(t).share();
        boolean over = fraction > share && random.nextDouble() * fraction > share;
        return over ? levelOver[k] : levelWithin[k];
    }

    private void place(double now, Call c) {
        Node n = walk(now, c);
        if (n == null) {
            end(now, c);
        } else {
            send(now, c, n);
        }
    }

    // The walk: the subset in random order, an independent draw at each server, the first that passes.
    private Node walk(double now, Call c) {
        // A small subset rarely holds another server that would discard a repeat: such a retry looks at all.
        Node[] s = grouped(c) ? usable : subset;
        double sum = 0;
        for (Node n : s) {
            sum += held(now, n);
        }
        meanHeld = s.length == 0 ? 0 : sum / s.length;
        Node spare = null;
        for (int left = s.length; left > 0; left--) {
            int j = random.nextInt(left);
            Node n = s[j];
            s[j] = s[left - 1];
            s[left - 1] = n;
            if (!mayGo(now, c, n) || !passes(now, c, n)) {
                continue;
            }
            // A small server comes later in the walk; its size refuses nothing.
            if (n.weight >= 1 || random.nextDouble() < n.weight) {
                if (takeToken(now, n)) {
                    return n;
                }
            } else if (spare == null) {
                spare = n;
            }
        }
        return spare != null && takeToken(now, spare) ? spare : null;
    }

    // The draws against a server: its percentage, and what it fails of this class.
    private boolean passes(double now, Call c, Node n) {
        return random.nextDouble() >= dropShare(c.level, percentageNow(now, n))
                && (n.failing == null || random.nextDouble() >= n.failing[c.request.classIndex]);
    }

    // A keyed request that may have run, whose repeat only some servers discard.
    private boolean grouped(Call c) {
        Contract.RequestClass k = classes[c.request.classIndex];
        return c.mayHaveRun != null && k.effect() == Contract.Effect.KEYED && k.group() != Contract.Group.ALL;
    }

    // Not where it has been, and for a keyed request that may have run only within its group and window.
    private boolean mayGo(double now, Call c, Node n) {
        for (int i = 0; i < c.count; i++) {
            if (c.attempts[i].node == n) {
                return false;
            }
        }
        Contract.RequestClass k = classes[c.request.classIndex];
        if (c.mayHaveRun == null || k.effect() != Contract.Effect.KEYED) {
            return true;
        }
        Contract.Server a = c.mayHaveRun.node.entry;
        return now < c.mayHaveRun.sentAt + k.window() && switch (k.group()) {
            case ALL -> true;
            case ZONE -> a.zone().equals(n.entry.zone());
            case CELL -> a.cell() == n.entry.cell();
        };
    }

    private double percentageNow(double now, Node n) {
        return 1 - (1 - Math.max(n.percentage, 1 - warmth(now, n))) * (1 - crowding(now, n));
    }

    // Guards against a burst, or a server gone slow, within one period, for outcomes come later than that:
    // the server that holds more than the subset's mean, or than it would hold when well, passes less.
    private double crowding(double now, Node n) {
        double ratio = Math.min((meanHeld + CROWD_SLACK) / (held(now, n) + CROWD_SLACK),
                (CROWD_WELL * Math.max(WELL_LEAST, n.wellHeld) * room(n) + CROWD_SLACK)
                        / (n.holds - n.stuck + CROWD_SLACK));
        return ratio >= 1 ? 0 : 1 - eighthPower(ratio);
    }

    // How many times what it holds when well a server has room for, by its own word. Guards against a draw
    // that holds itself down: what is refused brings no answers, and fewer answers let less through; and
    // against new servers, of which no answers are known. Where reports are late, a server that has just
    // filled is sent too much until its answers raise the percentage.
    private static double room(Node n) {
        return Math.max(1, ROOM_BELOW / Math.max(ROOM_BELOW / ROOM_MOST, n.util));
    }

    private static double eighthPower(double ratio) {
        double square = ratio * ratio;
        double fourth = square * square;
        return fourth * fourth;
    }

    // What a server holds: as it reported within an aim, with what we sent and got back since, else our own.
    private double held(double now, Node n) {
        return now - n.reportedAt < shortestAim ? Math.max(n.holds, n.reported + n.since) : n.holds - n.stuck;
    }

    // The fraction of its capacity that a server has at least, for its age.
    private double warmth(double now, Node n) {
        Contract.Obligations o = settings.obligations();
        double age = now - n.startedAt;
        if (n.startedAt == 0 || age >= o.coldTime()) {
            return 1;
        }
        return o.coldShare() + (1 - o.coldShare()) * Math.max(0, age) / o.coldTime();
    }

    // A cold server's token bucket: what a warm one gets from here, times the guessed fraction; no burst.
    private boolean takeToken(double now, Node n) {
        double w = warmth(now, n);
        if (w >= 1) {
            return true;
        }
        n.tokens = Math.min(COLD_SAVE, n.tokens + COLD_RATE * w * warmRate * (now - n.tokensAt));
        n.tokensAt = now;
        if (n.tokens < 1) {
            return false;
        }
        n.tokens--;
        return true;
    }

    // Learns what a warm server gets from here. Cold and shut-out ones do not count; with no warm one left
    // the last figure stands: in a rolling deploy budgets would else shrink with the traffic they allow.
    private void learnWarmRate(double now) {
        double sum = 0;
        int count = 0;
        for (Node n : ranked) {
            if (n.percentage < WARM_SHUT && warmth(now, n) >= 1) {
                sum += n.sendRate;
                count++;
            }
        }
        if (count > 0) {
            warmRate += (sum / count - warmRate) * WARM_WEIGHT;
        }
    }

    // The percentage split over the worth levels by the mix: the lowest takes it all before the next
    // takes any.
    private double dropShare(int level, double p) {
        if (p <= 0) {
            return 0;
        }
        double own = below[level + 1] - below[level];
        if (own <= 0) {
            return p > below[level] ? 1 : 0;
        }
        return (p - below[level]) / own;
    }

    private void send(double now, Call c, Node n) {
        Attempt a = new Attempt();
        a.call = c;
        a.node = n;
        a.sentAt = now;
        a.out = true;
        if (c.count == c.attempts.length) {
            c.attempts = Arrays.copyOf(c.attempts, c.count * 2);
        }
        c.attempts[c.count++] = a;
        a.older = n.newest;
        if (n.newest == null) {
            n.oldest = a;
        } else {
            n.newest.newer = a;
        }
        n.newest = a;
        n.holds++;
        n.since++;
        n.sends++;
        Contract.RequestClass k = classes[c.request.classIndex];
        boolean stopAtAim = k.lateWorth() <= 0 && !clientWouldRepeat(k);
        double within = stopAtAim && c.aimAt < c.endAt ? Math.max(1, c.aimAt - now) : 0;
        out.send(c.request, n.entry.id(), within);
    }

    private static boolean clientWouldRepeat(Contract.RequestClass k) {
        return k.effect() == Contract.Effect.SAFE
                || k.effect() == Contract.Effect.KEYED && k.group() == Contract.Group.ALL;
    }

    // Final answer without a further attempt: a refusal where it is true that a retry does no harm.
    private void end(double now, Call c) {
        c.ended = true;
        if (now < c.endAt && (c.mayHaveRun == null || clientWouldRepeat(classes[c.request.classIndex]))) {
            out.refuse(c.request, retryAfter(c));
        } else {
            out.fail(c.request);
        }
    }

    private double retryAfter(Call c) {
        double sum = 0;
        for (Node n : subset) {
            sum += n.percentage;
        }
        double mean = subset.length == 0 ? 1 : sum / subset.length;
        double aim = classes[c.request.classIndex].aim();
        return Math.min(settings.limits().maxRetryAfter(),
                aim * (AFTER_LEAST + AFTER_FULL * mean) * (0.75 + 0.5 * random.nextDouble()));
    }

    // --- outcomes --------------------------------------------------------------------------------

    @Override
    public void outcome(double now, Contract.Request request, int attempt, Contract.Outcome outcome,
                        double took, boolean finished, Contract.Report report) {
        Call c = (Call) request.state;
        if (c == null || attempt < 0 || attempt >= c.count || !c.attempts[attempt].out) {
            return;
        }
        Attempt a = c.attempts[attempt];
        if (outcome == Contract.Outcome.SERVED) {
            overtake(now, a, Math.max(took, usual[request.classIndex]) / OVERTAKEN_PART);
        }
        retire(a);
        if (!outcome.neverRan && c.mayHaveRun == null) {
            c.mayHaveRun = a;
        }
        double strain = read(a.node, report);
        grade(a.node, outcome, took, request.classIndex, strain);
        if (finished || outcome == Contract.Outcome.SERVED) {
            c.ended = true;
        }
        if (c.ended) {
            return;
        }
        if (mayRetry(now, c, outcome)) {
            retryTokens--;
            place(now, c);
        } else {
            end(now, c);
        }
    }

    // Later attempts served far faster than an older one has waited show that its server is at work and that
    // the older one is lost, or heavy: it is no sign of a queue. Guards against connections that fall silent,
    // requests that are never taken up and work that hangs, which would shut a sound server meanwhile.
    // Where a server starves old work for new, its queue shows in the answers' times and the outcomes alone.
    private static void overtake(double now, Attempt a, double longest) {
        int looked = 0;
        for (Attempt o = a.older; o != null && looked < LOOK; o = o.older, looked++) {
            o.passed = true;
            if (now - o.sentAt > longest && ++o.overtaken == OVERTAKEN) {
                o.node.stuck++;
            }
        }
    }

    private void retire(Attempt a) {
        a.out = false;
        a.node.holds--;
        if (a.overtaken >= OVERTAKEN) {
            a.node.stuck--;
        }
        a.node.since--;
        Node n = a.node;
        if (a.older == null) {
            n.oldest = a.newer;
        } else {
            a.older.newer = a.newer;
        }
        if (a.newer == null) {
            n.newest = a.older;
        } else {
            a.newer.older = a.older;
        }
        if (n.oldest == null && !n.listed) {
            nodes.remove(n.entry.id());
        }
    }

    private void grade(Node n, Contract.Outcome outcome, double took, int k, double strain) {
        switch (outcome) {
            case SERVED -> {
                fail(n, k, 0);
                double late = lateness(took, k);
                note(n, late, 1);
                if (strain > 0) {
                    n.bad += strain * REPORT_OUTCOMES;
                    n.all += REPORT_OUTCOMES;
                }
                n.answered += usual[k];
                poolUsual += usual[k];
                poolTook += Math.max(took, usual[k]);
                recent[k] += (took - recent[k]) * RECENT;
            }
            case FULL, CONNECT_FAILED, RESET, TIMED_OUT -> note(n, 1, 1);
            case ERROR -> fail(n, k, 1);
            default -> { }
        }
    }

    // A server may fail one class and serve the rest: an error raises that class's percentage there and no
    // other. One outcome tells much, for a light sidecar meets a class at a server once in many seconds.
    private void fail(Node n, int k, double error) {
        if (n.failing == null && error > 0) {
            n.failing = new double[classes.length];
        }
        if (n.failing != null) {
            n.failing[k] += (error - n.failing[k]) * FAIL_WEIGHT;
        }
    }

    private void note(Node n, double badness, double weight) {
        n.bad += badness * weight;
        n.all += weight;
        poolBad += badness * weight;
        poolAll += weight;
    }

    // Takes in a report that came with an answer, and tells how far the busy share is over the wanted one, as
    // the paper's overloaded node reckons it. That guards what a light sidecar cannot see in its own
    // attempts: the load of all the others. It counts less the more of the server's traffic is our own.
    // Requests a second by busy share are the server's size, so that slow, cold and shared machines come
    // later in the walk.
    private double read(Node n, Contract.Report r) {
        if (r == null || !(r.util() >= 0 && r.util() <= UTIL_MOST && r.perSecond() > 0)
                || r.perSecond() == Double.POSITIVE_INFINITY) {
            return 0;
        }
        n.util += (r.util() - n.util) * SIZE_WEIGHT;
        if (r.util() >= UTIL_LEAST) {
            n.capacity += (r.perSecond() / r.util() - n.capacity) * (n.capacity > 0 ? SIZE_WEIGHT : 1);
        }
        double over = Math.min(1, Math.max(0, (r.util() - UTIL_WANTED) / (1 - UTIL_WANTED)));
        double ours = n.sendRate * SECOND / r.perSecond();
        return over * Math.max(0, 1 - SEEN_ENOUGH * ours);
    }

    private double lateness(double took, int k) {
        double from = usual[k];
        return Math.max(0, Math.min(1, (took - from) / (from * (LATE_FULL - 1))));
    }

    private boolean mayRetry(double now, Call c, Contract.Outcome last) {
        Contract.RequestClass k = classes[c.request.classIndex];
        if (last == Contract.Outcome.NEVER_SENT || retryTokens < 1
                || c.count >= settings.limits().attempts()) {
            return false;
        }
        boolean useful = now < (k.lateWorth() > 0 ? c.endAt : Math.min(c.aimAt, c.endAt));
        return useful && (c.mayHaveRun == null || k.effect() != Contract.Effect.UNSAFE);
    }

    @Override
    public void streaming(double now, Contract.Request request, int attempt) {
        Call c = (Call) request.state;
        if (c != null) {
            c.ended = true;
        }
    }

    @Override
    public void abandoned(double now, Contract.Request request) {
        Call c = (Call) request.state;
        if (c != null && !c.ended) {
            c.ended = true;
            // Only the last attempt of a request can be out.
            if (c.count > 0 && c.attempts[c.count - 1].out && settings.limits().cancel()) {
                out.cancel(request, c.count - 1);
            }
        }
    }

    @Override
    public void probed(double now, String server, Contract.Outcome outcome, double took,
                       Contract.Report report) {
        Node n = nodes.get(server);
        if (n != null && report != null && report.inflight() >= 0
                && report.inflight() < Double.POSITIVE_INFINITY) {
            n.reported = report.inflight();
            n.reportedAt = now;
            n.since = 0;
        }
    }

    // Probes the subset in turn, as far as requests pay for it and spread over the time between them: right
    // after a request they are out of date when a light sidecar's next one comes.
    private void probe(double now) {
        probeRate += (probeEarned - probeRate) * PROBE_WEIGHT;
        probeEarned = 0;
        probeTokens = Math.min(probeTokens + probeRate, subset.length);
        for (int i = 0; i < ranked.length && probeTokens >= 1; i++) {
            probeNext = (probeNext + 1) % ranked.length;
            Node n = ranked[probeNext];
            // One known to be busy is passed by anyway; the probe is better spent on where a request may go.
            if (now - n.reportedAt > shortestAim / 2 || held(now, n) < 1) {
                out.probe(n.entry.id());
                probeTokens--;
            }
        }
    }

    @Override
    public void message(double now, int from, byte[] text) {
    }

    // --- the period ------------------------------------------------------------------------------

    @Override
    public void wake(double now) {
        double span = Math.max(1, now - lastWake);
        lastWake = now;
        updateMix();
        pace = poolUsual / poolTook;
        for (int i = 0; i < usual.length; i++) {
            usual[i] = recent[i] < usual[i] ? recent[i] : usual[i] + (recent[i] - usual[i]) * DRIFT;
        }
        double well = 0;
        int holds = 0;
        for (Node n : ranked) {
            n.sendRate += (n.sends / span - n.sendRate) * SEND_WEIGHT;
            n.sends = 0;
            n.wellHeld += (n.answered / span - n.wellHeld) * WELL_WEIGHT;
            n.answered = 0;
            well += n.wellHeld;
            holds += n.holds - n.stuck;
            control(now, n);
        }
        width += (well - width) * (well > width ? WIDTH_RISE : WIDTH_FALL);
        held += (holds - held) * (holds > held ? WIDTH_RISE : WIDTH_FALL);
        int wanted = subsetWanted();
        if (wanted > subsetSize || wanted < subsetSize - 1) {
            pickSubset(now);
        }
        poolBad *= POOL_KEEP;
        poolAll *= POOL_KEEP;
        poolUsual = 1 + (poolUsual - 1) * POOL_KEEP;
        poolTook = 1 + (poolTook - 1) * POOL_KEEP;
        learnWarmRate(now);
        weigh();
        probe(now);
        if (askAt <= now) {
            askAt = Double.NaN;
            asked = true;
            out.watchServers();
        }
        out.wake(now + period * (0.9 + 0.2 * random.nextDouble()));
    }

    private void updateMix() {
        double total = 0;
        for (double m : mix) {
            total += m;
        }
        double sum = 0;
        for (int i = 0; i < mix.length; i++) {
            below[i] = total > 0 ? sum / total : 0;
            sum += mix[i];
            mix[i] *= MIX_KEEP;
        }
        below[mix.length] = 1;
        seen *= MIX_KEEP;
        for (int i = 0; i < tenantSeen.length; i++) {
            tenantSeen[i] *= MIX_KEEP;
        }
    }

    // One step of the controller: up from the percentage in use while too much is not accepted, else down.
    private void control(double now, Node n) {
        double bad = n.bad;
        double all = n.all;
        double lateOut = 0;
        int count = 0;
        int looked = 0;
        for (Attempt a = n.oldest; a != null && looked < LOOK; a = a.newer, looked++) {
            double late = lateness(now - a.sentAt, a.call.request.classIndex);
            if (late > 0 && !a.passed) {
                lateOut += late;
                count++;
            }
        }
        // Guards against a single request without an answer, which would count anew in each period it is out:
        // a second one, or its time-out, must bear it out. A server that vanishes is known one attempt later.
        if (count > 1) {
            bad += lateOut;
            all += count;
        }
        double pooled = Math.max(0, poolBad / (poolAll + PRIOR) - POOL_TARGET);
        double excess = (bad + PRIOR * pooled) / (all + PRIOR) - TARGET;
        if (excess > 0) {
            n.percentage += (1 - n.percentage) * STEP_UP * Math.min(1, excess / STEP_WHOLE_AT);
        } else {
            double fall = STEP_DOWN * pace;
            n.percentage = Math.max(0, n.percentage - fall * (1 - n.percentage) - STEP_DOWN_LEAST);
        }
        n.bad *= KEEP;
        n.all *= KEEP;
        if (n.failing != null) {
            for (int k = 0; k < n.failing.length; k++) {
                n.failing[k] *= FAIL_KEEP;
            }
        }
    }
}
