package whinlead.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import whinlead.replication.wire.CopiesGrpc;
import whinlead.replication.wire.Wire;

/**
 * {@code copies check} and {@code copies status}, for operators ({@code docs/copies.md}). Exit codes: 0 all is well; 1
 * a bad file, or a group that can promise nothing; 2 bad usage; 3 a group that promises, but is a member short.
 */
@Command(
        name = "copies",
        description = "Sidecars that keep copies with each other.",
        mixinStandardHelpOptions = true,
        subcommands = {
            ReplicationCommand.Check.class,
            ReplicationCommand.Status.class,
            ReplicationCommand.Replace.class,
            ReplicationCommand.Follow.class
        })
final class ReplicationCommand {
    private static final int BAD = 1;
    private static final int SHORT = 3;
    /** Of a group, before it is an exit code: worse than one that is a member short. */
    private static final int BROKEN = 4;

    private ReplicationCommand() {}

    /** Whether a file is good. */
    @Command(name = "check", mixinStandardHelpOptions = true, description = "Whether a file is good.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "As deploy/copies.json.")
        private String file;

        @Override
        public Integer call() {
            ReplicationConfig c = ReplicationConfig.read(file, new ObjectMapper());
            c.groups()
                    .forEach((group, names) -> System.out.println(
                            (names.contains(c.name()) ? "member " + c.name() + " of " : "no member of ") + group + ", "
                                    + names.size() + " in all: "
                                    + (names.size() - 1) / 2 + " may be lost at a time"));
            return 0;
        }
    }

    /** How its members stand. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "How each member of a group stands, by its own word.")
    static final class Status implements Callable<Integer> {
        private static final long MAX_ANSWER_MS = 2000;

        @Parameters(paramLabel = "FILE", description = "As deploy/copies.json.")
        private String file;

        @Option(names = "--request", description = "Also what each knows of the request with this id.")
        private String request = "";

        @Override
        public Integer call() {
            ReplicationConfig c = ReplicationConfig.read(file, new ObjectMapper());
            Map<String, ManagedChannel> channels = new HashMap<>();
            try {
                int worst = 0;
                for (Map.Entry<String, SortedSet<String>> group : c.groups().entrySet()) {
                    worst = Math.max(worst, state(c, group.getKey(), group.getValue(), channels));
                }
                return worst == SHORT ? SHORT : worst > 0 ? BAD : 0;
            } finally {
                channels.values().forEach(ManagedChannel::shutdownNow);
            }
        }

        // Its first members by their own word, and guests by the members'. What is worse counts as more.
        private int state(
                ReplicationConfig c, String group, SortedSet<String> first, Map<String, ManagedChannel> channels) {
            int voting = 0;
            int leaders = 0;
            SortedSet<String> ask = new TreeSet<>(first);
            Set<String> asked = new HashSet<>();
            while (!ask.isEmpty()) {
                String name = ask.first();
                ask.remove(name);
                asked.add(name);
                Wire.StatusReply r = ask(
                        channels.computeIfAbsent(
                                name,
                                n -> NettyChannelBuilder.forAddress(
                                                c.processes().get(n))
                                        .usePlaintext()
                                        .build()),
                        group,
                        request);
                String who = group + " " + name + "  ";
                if (r == null) {
                    System.out.println(who + "no answer");
                } else if (!r.hasId()) {
                    System.out.println(who + "has no place");
                } else {
                    voting += r.getVotes() ? 1 : 0;
                    leaders += r.getLeads() ? 1 : 0;
                    System.out.println(who + (r.getLeads() ? "leads" : r.getVotes() ? "votes" : "learns") + ", holds "
                            + r.getRequests() + " requests, life "
                            + Long.toHexString(r.getId().getLife()) + ", knows " + lives(r)
                            + (r.hasKnown() ? ", " + request + " is " + known(r.getKnown()) : ""));
                    r.getMembersList().stream()
                            .map(Wire.Id::getName)
                            .filter(n -> !asked.contains(n) && c.processes().containsKey(n))
                            .forEach(ask::add);
                }
            }
            if (leaders == 0 || 2 * voting <= first.size()) {
                System.out.println(
                        group + " promises nothing: " + voting + " of " + first.size() + " vote, " + leaders + " lead");
                return BROKEN;
            }
            System.out.println(group + " promises, with " + voting + " of " + first.size() + " that vote");
            return voting < first.size() ? SHORT : 0;
        }

        private static String known(Wire.Reply known) {
            return switch (known.getKind()) {
                case FREE -> "not known";
                case OUT -> "out, and may have run";
                default ->
                    "over: "
                            + whinlead.replication.Command.Ending.values()[known.getNumber()]
                                    .name()
                                    .toLowerCase(Locale.ROOT);
            };
        }

        private static Set<String> lives(Wire.StatusReply r) {
            return r.getMembersList().stream()
                    .map(i -> i.getName() + "#" + Long.toHexString(i.getLife()))
                    .collect(Collectors.toCollection(TreeSet::new));
        }

        private static Wire.StatusReply ask(ManagedChannel channel, String group, String request) {
            try {
                return CopiesGrpc.newBlockingStub(channel)
                        .withDeadlineAfter(MAX_ANSWER_MS, TimeUnit.MILLISECONDS)
                        .status(Wire.StatusRequest.newBuilder()
                                .setSeatIn(group)
                                .setRequest(request)
                                .build());
            } catch (StatusRuntimeException e) {
                return null;
            }
        }
    }

    /** Has another process take the seat of one that does not come back. */
    @Command(
            name = "replace",
            mixinStandardHelpOptions = true,
            description = "Has another process take a member's seat now.")
    static final class Replace implements Callable<Integer> {
        private static final long MAX_ANSWER_MS = 2000;
        private static final long LOOK_EVERY_MS = 250;
        private static final long MAX_DONE_MS = 60_000;

        @Parameters(index = "0", paramLabel = "FILE", description = "As deploy/copies.json.")
        private String file;

        @Parameters(index = "1", paramLabel = "GROUP")
        private String group;

        @Parameters(index = "2", paramLabel = "MEMBER", description = "The one that does not come back.")
        private String gone;

        @Override
        public Integer call() throws InterruptedException {
            ReplicationConfig c = ReplicationConfig.read(file, new ObjectMapper());
            if (!c.groups().containsKey(group)) {
                throw new IllegalArgumentException("copies has no group " + group);
            }
            Map<String, ManagedChannel> channels = new HashMap<>();
            c.processes()
                    .forEach((name, at) -> channels.put(
                            name,
                            NettyChannelBuilder.forAddress(at).usePlaintext().build()));
            try {
                String refused = "nobody leads";
                for (ManagedChannel channel : channels.values()) {
                    Wire.StatusReply r = Status.ask(channel, group, "");
                    if (r != null && r.getLeads()) {
                        Wire.ReplaceRequest ask = Wire.ReplaceRequest.newBuilder()
                                .setSeatIn(group)
                                .setName(gone)
                                .build();
                        refused = CopiesGrpc.newBlockingStub(channel)
                                .withDeadlineAfter(MAX_ANSWER_MS, TimeUnit.MILLISECONDS)
                                .replace(ask)
                                .getRefused();
                    }
                }
                if (!refused.isEmpty()) {
                    System.err.println("whinlead: " + refused);
                    return BAD;
                }
                return done(channels.values(), c.groups().get(group).size()) ? 0 : BAD;
            } finally {
                channels.values().forEach(ManagedChannel::shutdownNow);
            }
        }

        // All seats are taken, and none by the one that is gone.
        private boolean done(Collection<ManagedChannel> all, int size) throws InterruptedException {
            for (long waited = 0; waited < MAX_DONE_MS; waited += LOOK_EVERY_MS) {
                for (ManagedChannel channel : all) {
                    Wire.StatusReply r = Status.ask(channel, group, "");
                    List<String> names = r == null || !r.getLeads()
                            ? List.of()
                            : r.getMembersList().stream().map(Wire.Id::getName).toList();
                    if (names.size() == size && !names.contains(gone)) {
                        System.out.println(group + " has " + names);
                        return true;
                    }
                }
                TimeUnit.MILLISECONDS.sleep(LOOK_EVERY_MS);
            }
            System.err.println("whinlead: not done within " + MAX_DONE_MS / 1000 + " s; see copies status");
            return false;
        }
    }

    /** One request's steps at all processes, by their trace files. */
    @Command(
            name = "follow",
            mixinStandardHelpOptions = true,
            description = "What all processes did with one request, by their trace files.")
    static final class Follow implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "REQUEST", description = "Its id.")
        private String id;

        @Parameters(
                index = "1..*",
                arity = "1..*",
                paramLabel = "TRACE",
                description = "Trace files, of any processes.")
        private List<Path> files;

        @Override
        public Integer call() throws IOException {
            ObjectMapper mapper = new ObjectMapper();
            List<JsonNode> steps = new ArrayList<>();
            for (Path path : files) {
                try (Stream<String> lines = Files.lines(path)) {
                    lines.filter(line -> line.contains(id)).forEach(line -> {
                        try {
                            JsonNode step = mapper.readTree(line);
                            if (step.path("request").asText().equals(id)) {
                                steps.add(step);
                            }
                        } catch (JsonProcessingException e) {
                            System.err.println(path + ": not understood: " + line);
                        }
                    });
                }
            }
            steps.sort(Comparator.comparing(step -> step.path("at").asText()));
            steps.forEach(step -> System.out.println(String.join(
                    "  ",
                    step.path("at").asText(),
                    step.path("process").asText(),
                    step.path("step").asText(),
                    step.path("detail").asText())));
            return steps.isEmpty() ? BAD : 0;
        }
    }
}
