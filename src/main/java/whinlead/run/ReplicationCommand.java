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
 * The {@code copies} commands for operators of replication ({@code docs/copies.md}). Exit codes: 0 success; 1 an
 * invalid file, or a group without a quorum; 2 bad usage; 3 a group that has a quorum but lacks a member.
 */
@Command(
        name = "copies",
        description = "Inspect and manage replication between sidecars.",
        mixinStandardHelpOptions = true,
        subcommands = {
            ReplicationCommand.Check.class,
            ReplicationCommand.Status.class,
            ReplicationCommand.Replace.class,
            ReplicationCommand.Follow.class
        })
final class ReplicationCommand {
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_MEMBER_MISSING = 3;
    /** State of a group, mapped to an exit code later: ranks above a missing member. */
    private static final int NO_QUORUM = 4;

    private ReplicationCommand() {}

    /** Validates a replication file. */
    @Command(name = "check", mixinStandardHelpOptions = true, description = "Validate a replication file.")
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "As deploy/copies.json.")
        private String file;

        @Override
        public Integer call() {
            ReplicationConfig config = ReplicationConfig.read(file, new ObjectMapper());
            config.groups()
                    .forEach((group, names) -> System.out.println((names.contains(config.processName())
                                    ? "member " + config.processName() + " of "
                                    : "no member of ")
                            + group + ", "
                            + names.size() + " in all: "
                            + (names.size() - 1) / 2 + " may be lost at a time"));
            return 0;
        }
    }

    /** Prints the state of each member of each group. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Show the state of each member of a group as it reports it.")
    static final class Status implements Callable<Integer> {
        private static final long REPLY_TIMEOUT_MS = 2000;

        @Parameters(paramLabel = "FILE", description = "As deploy/copies.json.")
        private String file;

        @Option(names = "--request", description = "Also show what each member knows of the request with this id.")
        private String request = "";

        @Override
        public Integer call() {
            ReplicationConfig config = ReplicationConfig.read(file, new ObjectMapper());
            Map<String, ManagedChannel> channels = new HashMap<>();
            try {
                int worst = 0;
                for (Map.Entry<String, SortedSet<String>> group :
                        config.groups().entrySet()) {
                    worst = Math.max(worst, printGroupState(config, group.getKey(), group.getValue(), channels));
                }
                return worst == EXIT_MEMBER_MISSING ? EXIT_MEMBER_MISSING : worst > 0 ? EXIT_FAILURE : 0;
            } finally {
                channels.values().forEach(ManagedChannel::shutdownNow);
            }
        }

        // Queries the initial members and, from their member lists, all later ones. A worse state has a higher value.
        private int printGroupState(
                ReplicationConfig config,
                String group,
                SortedSet<String> initialMembers,
                Map<String, ManagedChannel> channels) {
            int voting = 0;
            int leaders = 0;
            SortedSet<String> toQuery = new TreeSet<>(initialMembers);
            Set<String> queried = new HashSet<>();
            while (!toQuery.isEmpty()) {
                String name = toQuery.first();
                toQuery.remove(name);
                queried.add(name);
                Wire.StatusReply reply = queryStatus(
                        channels.computeIfAbsent(
                                name,
                                n -> NettyChannelBuilder.forAddress(
                                                config.processes().get(n))
                                        .usePlaintext()
                                        .build()),
                        group,
                        request);
                String linePrefix = group + " " + name + "  ";
                if (reply == null) {
                    System.out.println(linePrefix + "no answer");
                } else if (!reply.hasId()) {
                    System.out.println(linePrefix + "has no place");
                } else {
                    voting += reply.getVotes() ? 1 : 0;
                    leaders += reply.getLeads() ? 1 : 0;
                    System.out.println(linePrefix + (reply.getLeads() ? "leads" : reply.getVotes() ? "votes" : "learns")
                            + ", holds "
                            + reply.getRequests() + " requests, life "
                            + Long.toHexString(reply.getId().getLife()) + ", knows " + memberIncarnations(reply)
                            + (reply.hasKnown() ? ", " + request + " is " + describeRequest(reply.getKnown()) : ""));
                    reply.getMembersList().stream()
                            .map(Wire.Id::getName)
                            .filter(n ->
                                    !queried.contains(n) && config.processes().containsKey(n))
                            .forEach(toQuery::add);
                }
            }
            if (leaders == 0 || 2 * voting <= initialMembers.size()) {
                System.out.println(group + " promises nothing: " + voting + " of " + initialMembers.size() + " vote, "
                        + leaders + " lead");
                return NO_QUORUM;
            }
            System.out.println(group + " promises, with " + voting + " of " + initialMembers.size() + " that vote");
            return voting < initialMembers.size() ? EXIT_MEMBER_MISSING : 0;
        }

        private static String describeRequest(Wire.Reply reply) {
            return switch (reply.getKind()) {
                case FREE -> "not known";
                case OUT -> "out, and may have run";
                default ->
                    "over: "
                            + whinlead.replication.Command.Ending.values()[reply.getNumber()]
                                    .name()
                                    .toLowerCase(Locale.ROOT);
            };
        }

        private static Set<String> memberIncarnations(Wire.StatusReply reply) {
            return reply.getMembersList().stream()
                    .map(id -> id.getName() + "#" + Long.toHexString(id.getLife()))
                    .collect(Collectors.toCollection(TreeSet::new));
        }

        private static Wire.StatusReply queryStatus(ManagedChannel channel, String group, String request) {
            try {
                return CopiesGrpc.newBlockingStub(channel)
                        .withDeadlineAfter(REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                        .status(Wire.StatusRequest.newBuilder()
                                .setSeatIn(group)
                                .setRequest(request)
                                .build());
            } catch (StatusRuntimeException e) {
                return null;
            }
        }
    }

    /** Lets another process replace a member that does not return. */
    @Command(
            name = "replace",
            mixinStandardHelpOptions = true,
            description = "Let another process replace a member now.")
    static final class Replace implements Callable<Integer> {
        private static final long REPLY_TIMEOUT_MS = 2000;
        private static final long POLL_INTERVAL_MS = 250;
        private static final long MAX_WAIT_MS = 60_000;

        @Parameters(index = "0", paramLabel = "FILE", description = "As deploy/copies.json.")
        private String file;

        @Parameters(index = "1", paramLabel = "GROUP")
        private String group;

        @Parameters(index = "2", paramLabel = "MEMBER", description = "The member to replace.")
        private String replacedMember;

        @Override
        public Integer call() throws InterruptedException {
            ReplicationConfig config = ReplicationConfig.read(file, new ObjectMapper());
            if (!config.groups().containsKey(group)) {
                throw new IllegalArgumentException("copies has no group " + group);
            }
            Map<String, ManagedChannel> channels = new HashMap<>();
            config.processes()
                    .forEach((name, address) -> channels.put(
                            name,
                            NettyChannelBuilder.forAddress(address)
                                    .usePlaintext()
                                    .build()));
            try {
                String refusal = "no member leads the group";
                for (ManagedChannel channel : channels.values()) {
                    Wire.StatusReply reply = Status.queryStatus(channel, group, "");
                    if (reply != null && reply.getLeads()) {
                        Wire.ReplaceRequest replaceRequest = Wire.ReplaceRequest.newBuilder()
                                .setSeatIn(group)
                                .setName(replacedMember)
                                .build();
                        refusal = CopiesGrpc.newBlockingStub(channel)
                                .withDeadlineAfter(REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                                .replace(replaceRequest)
                                .getRefused();
                    }
                }
                if (!refusal.isEmpty()) {
                    System.err.println("whinlead: " + refusal);
                    return EXIT_FAILURE;
                }
                return awaitReplacement(
                                channels.values(), config.groups().get(group).size())
                        ? 0
                        : EXIT_FAILURE;
            } finally {
                channels.values().forEach(ManagedChannel::shutdownNow);
            }
        }

        // Waits until the group has all its members and the replaced one is not among them.
        private boolean awaitReplacement(Collection<ManagedChannel> channels, int groupSize)
                throws InterruptedException {
            for (long waitedMs = 0; waitedMs < MAX_WAIT_MS; waitedMs += POLL_INTERVAL_MS) {
                for (ManagedChannel channel : channels) {
                    Wire.StatusReply reply = Status.queryStatus(channel, group, "");
                    List<String> names = reply == null || !reply.getLeads()
                            ? List.of()
                            : reply.getMembersList().stream()
                                    .map(Wire.Id::getName)
                                    .toList();
                    if (names.size() == groupSize && !names.contains(replacedMember)) {
                        System.out.println(group + " has " + names);
                        return true;
                    }
                }
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            }
            System.err.println(
                    "whinlead: replacement not complete after " + MAX_WAIT_MS / 1000 + " s; see copies status");
            return false;
        }
    }

    /** Prints the steps of one request at all processes, from their trace files. */
    @Command(
            name = "follow",
            mixinStandardHelpOptions = true,
            description = "Show the steps of one request at all processes, from their trace files.")
    static final class Follow implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "REQUEST", description = "Id of the request.")
        private String requestId;

        @Parameters(index = "1..*", arity = "1..*", paramLabel = "TRACE", description = "Trace files of any processes.")
        private List<Path> traceFiles;

        @Override
        public Integer call() throws IOException {
            ObjectMapper mapper = new ObjectMapper();
            List<JsonNode> steps = new ArrayList<>();
            for (Path path : traceFiles) {
                try (Stream<String> lines = Files.lines(path)) {
                    lines.filter(line -> line.contains(requestId)).forEach(line -> {
                        try {
                            JsonNode step = mapper.readTree(line);
                            if (step.path("request").asText().equals(requestId)) {
                                steps.add(step);
                            }
                        } catch (JsonProcessingException e) {
                            System.err.println(path + ": invalid trace line: " + line);
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
            return steps.isEmpty() ? EXIT_FAILURE : 0;
        }
    }
}
