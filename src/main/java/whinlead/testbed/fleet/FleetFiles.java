package whinlead.testbed.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Where the processes of a fleet listen, on loopback, and the files that tell them so. */
final class FleetFiles {
    static final int FRONT = 9000;
    static final int CONSULT = 9191;
    static final int GROUP = 9301;
    private static final int NETS_FROM = 20;
    private static final int NETS = 200;
    private static final int ENDPOINTS = 8;
    /**
     * One that stands still has more connections, of callers that gave up, than are usual: with 32 it closed those that
     * were alive, before it heard that others were gone.
     */
    private static final int CONNECTIONS = 64;

    private static final int REPLACE_AFTER_MS = 5000;
    /** What it remembers by itself is gone when members are compared: then they tell what was agreed on. */
    private static final int FORGETS_MS = 1000;

    private static final int REMEMBERS_MS = 60_000;
    /** Of the last part of an address: members from 1 on, links from here on. */
    private static final int LINKS_FROM = 100;

    private static final int LINKS_EACH = 10;

    private final CopiesFleet.Plan plan;
    private final int net;
    private final long rememberMs;
    private final ObjectMapper mapper;

    /**
     * Those of a plan, in a loopback network of this process's own.
     *
     * @param rememberMs for how long a group knows how a request ended
     */
    FleetFiles(CopiesFleet.Plan plan, long rememberMs, ObjectMapper mapper) {
        this.plan = plan;
        this.rememberMs = rememberMs;
        this.mapper = mapper;
        net = NETS_FROM + (int) (ProcessHandle.current().pid() % NETS);
    }

    /** Where a member listens, with all of its ports. */
    String address(int group, int member) {
        return "127." + net + "." + group + "." + (member + 1);
    }

    /** Where a member reaches another of its group: a link that can be made to fail. */
    InetSocketAddress link(int group, int from, int to) {
        return new InetSocketAddress("127." + net + "." + group + "." + (LINKS_FROM + from * LINKS_EACH + to), GROUP);
    }

    static Path disk(Path folder) {
        return folder.resolve("disk");
    }

    /** Writes a member's files into its folder; gives the environment that names them. */
    Map<String, String> write(int group, int member, Path folder, String seed) throws IOException {
        String address = address(group, member);
        ObjectNode config = (ObjectNode) mapper.readTree(CopiesFleet.class.getResource("/whinlead/testbed/fleet.json"));
        config.put("listen", address + ":" + FRONT).put("seed", seed);
        var hosts = config.putObject("known").put("seq", 1).put("whole", true).putArray("hosts");
        for (int i = 0; i < ENDPOINTS; i++) {
            hosts.addObject()
                    .put("host", "e" + i)
                    .put("dial", "127.0.0.1:" + (1000 + i))
                    .put("site", "a")
                    .put("class", "m")
                    .put("block", 0)
                    .put("health", "ready")
                    .put("share", 1.0)
                    .put("born_ms", 0);
        }
        Path main = folder.resolve("config.json");
        Files.writeString(main, mapper.writeValueAsString(config));
        ObjectNode processor = mapper.createObjectNode();
        processor.putObject("http").put("listen", address + ":" + CONSULT).put("connections", CONNECTIONS);
        processor.putObject("bounds").put("remember_ms", plan.copies() ? FORGETS_MS : REMEMBERS_MS);
        Files.writeString(folder.resolve("processor.json"), mapper.writeValueAsString(processor));
        Map<String, String> environment = new HashMap<>(Map.of(
                "PROXY_CONFIG",
                main.toString(),
                "PROXY_PROCESSOR",
                folder.resolve("processor.json").toString()));
        if (plan.copies()) {
            Path file = folder.resolve("copies.json");
            Files.writeString(file, mapper.writeValueAsString(copies(group, member, folder)));
            environment.put("PROXY_COPIES", file.toString());
        }
        return environment;
    }

    private ObjectNode copies(int group, int member, Path folder) {
        ObjectNode copies = mapper.createObjectNode().put("name", name(group, member));
        if (plan.site()) {
            copies.put("replace_after_ms", REPLACE_AFTER_MS);
            ObjectNode processes = copies.putObject("processes");
            ObjectNode groups = copies.putObject("groups");
            for (int g = 0; g < plan.groups(); g++) {
                var names = groups.putArray("g" + g);
                for (int i = 0; i < plan.members(); i++) {
                    names.add(name(g, i));
                    processes.put(name(g, i), seen(group, member, g, i));
                }
            }
        } else {
            copies.put("group", "g" + group);
            ObjectNode members = copies.putObject("members");
            for (int i = 0; i < plan.members(); i++) {
                members.put(name(group, i), seen(group, member, group, i));
            }
        }
        if (plan.disks()) {
            copies.put("disk", disk(folder).toString());
        }
        copies.putObject("bounds").put("remember_ms", rememberMs).put("requests", 100_000);
        return copies;
    }

    /** True once the process at this address takes clients. Blocks for so many milliseconds at most. */
    static boolean ready(HttpClient http, String address, long mostMs) {
        try {
            return http.send(
                                    HttpRequest.newBuilder(
                                                    URI.create("http://" + address + ":" + FRONT + "/health/ready"))
                                            .timeout(Duration.ofMillis(mostMs))
                                            .build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    static String name(int group, int member) {
        return "g" + group + "n" + member;
    }

    // By which address one reaches another: those of its own group by links.
    private String seen(int group, int member, int otherGroup, int other) {
        return (group == otherGroup && member != other
                        ? link(group, member, other).getAddress().getHostAddress()
                        : address(otherGroup, other))
                + ":" + GROUP;
    }
}
