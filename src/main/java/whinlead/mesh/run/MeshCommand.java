package whinlead.mesh.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import whinlead.mesh.control.ControlNode;
import whinlead.mesh.log.Event;
import whinlead.mesh.log.Logs;
import whinlead.mesh.settings.NodeSettings;
import whinlead.mesh.settings.NodeSettingsException;
import whinlead.mesh.settings.NodeSettingsReader;
import whinlead.mesh.sidecar.Sidecar;
import whinlead.mesh.storage.StateStoreException;
import whinlead.signals.Hangup;

/** The command line of the mesh's roles, {@code sidecar} and {@code control}. */
public final class MeshCommand {
    /** The environment variable that names the settings file. */
    public static final String SETTINGS_VARIABLE = "WHINLEAD_NODE_FILE";

    private static final int EXIT_USAGE = 2;
    private static final String SIDECAR = "sidecar";
    private static final String CONTROL = "control";
    /** Former names of the roles, which are accepted for one more version. */
    private static final Map<String, String> FORMER_NAMES = Map.of("carrier", SIDECAR, "office", CONTROL);

    private MeshCommand() {}

    /** Whether this is the name of a role of the mesh. */
    public static boolean isMeshRole(String role) {
        return SIDECAR.equals(role) || CONTROL.equals(role) || FORMER_NAMES.containsKey(role);
    }

    /** Runs a role until the process ends; exits with 2 on invalid usage and 1 on settings that can't be used. */
    public static void main(String... args) {
        run(UnaryOperator.identity(), args);
    }

    /**
     * Runs a role like {@link #main}.
     *
     * @param dialAddresses maps another process's address to the address to dial
     */
    public static void run(UnaryOperator<InetSocketAddress> dialAddresses, String... args) {
        Logs.configure();
        Hangup hangup = installHangup();
        Options options = options();
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                printHelp(options);
            } else {
                run(line, hangup, dialAddresses);
            }
        } catch (ParseException e) {
            quit(e.getMessage(), EXIT_USAGE);
        } catch (NodeSettingsException | IllegalArgumentException e) {
            quit("settings: " + e.getMessage(), 1);
        } catch (StateStoreException e) {
            quit("state store: " + e.getMessage(), 1);
        } catch (Exception e) {
            // A failed bind throws a checked exception that Netty's future does not declare.
            quit("cannot start: " + e.getMessage(), 1);
        }
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder("s")
                        .longOpt("settings")
                        .hasArg()
                        .argName("FILE")
                        .desc("the settings file; by default the one that " + SETTINGS_VARIABLE + " names")
                        .get())
                .addOption(Option.builder("c")
                        .longOpt("check")
                        .desc("only read and check the settings")
                        .get())
                .addOption(Option.builder("h")
                        .longOpt("help")
                        .desc("print this help")
                        .get());
    }

    private static void printHelp(Options options) {
        System.out.println("usage: sidecar | control [-s FILE] [-c]");
        for (Option option : options.getOptions()) {
            String argument = option.hasArg() ? " " + option.getArgName() : "";
            System.out.println(
                    "  -" + option.getOpt() + ", --" + option.getLongOpt() + argument + "  " + option.getDescription());
        }
    }

    private static void run(CommandLine line, Hangup hangup, UnaryOperator<InetSocketAddress> dialAddresses)
            throws Exception {
        if (line.getArgList().size() != 1) {
            throw new ParseException("expected exactly one role: sidecar or control");
        }
        ObjectMapper mapper = new ObjectMapper();
        String path = line.getOptionValue("settings", System.getenv(SETTINGS_VARIABLE));
        if (path == null) {
            throw new NodeSettingsException(SETTINGS_VARIABLE + " is not set");
        }
        NodeSettingsReader reader = new NodeSettingsReader(mapper);
        NodeSettings settings = reader.read(Path.of(path));
        if (!line.hasOption("check")) {
            SettingsWatcher watcher = new SettingsWatcher(Path.of(path), settings, reader);
            start(line.getArgList().get(0), settings, watcher, hangup, mapper, dialAddresses);
        }
    }

    // From here on SIGHUP does not end the process.
    private static Hangup installHangup() {
        try {
            return Hangup.guard(line -> Event.SETTINGS_REREAD.log(line));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this Java runtime provides no signal handling", e);
        }
    }

    private static void start(
            String role,
            NodeSettings settings,
            SettingsWatcher watcher,
            Hangup hangup,
            ObjectMapper mapper,
            UnaryOperator<InetSocketAddress> dialAddresses)
            throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        if (CONTROL.equals(FORMER_NAMES.getOrDefault(role, role))) {
            ControlNode controlNode = new ControlNode(settings, loop, mapper, dialAddresses);
            controlNode.start();
            Runtime.getRuntime().addShutdownHook(new Thread(controlNode::leave, "leave"));
            watcher.watch(hangup, loop, controlNode::addSeeds);
        } else {
            Sidecar sidecar = new Sidecar(settings, loop, mapper, dialAddresses);
            Runtime.getRuntime().addShutdownHook(new Thread(sidecar::shutDown, "leave"));
            sidecar.start();
            watcher.watch(hangup, loop, sidecar::addSeeds);
        }
    }

    private static void quit(String message, int code) {
        System.err.println("whinlead: " + message);
        System.exit(code);
    }
}
