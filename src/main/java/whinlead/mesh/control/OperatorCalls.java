package whinlead.mesh.control;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import whinlead.mesh.config.ConfigReader;
import whinlead.mesh.config.ConfigValidator;
import whinlead.mesh.config.InvalidConfigException;
import whinlead.mesh.config.MeshConfig;
import whinlead.mesh.consensus.ConsensusNode;
import whinlead.mesh.consensus.Decision;
import whinlead.mesh.log.Event;
import whinlead.mesh.log.GuardedTask;
import whinlead.mesh.rpc.RpcCall;
import whinlead.mesh.rpc.RpcResponse;

/**
 * Operators' calls at a control node: checks a configuration, submits it to the consensus, and answers each call once
 * with its result. Configurations are checked on a separate thread; everything else runs on the loop's thread.
 */
final class OperatorCalls {
    private static final String NO_MAJORITY = "no majority of control nodes answered in time";

    private final EventLoop loop;
    private final DoubleSupplier clockMs;
    private final ConsensusNode consensus;
    private final ConfigReader reader = new ConfigReader();
    /** Calls that the consensus has not completed yet, by their number. */
    private final Map<Long, Consumer<RpcResponse>> pendingCalls = new HashMap<>();

    private final ExecutorService checkExecutor = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "config-check");
        thread.setDaemon(true);
        return thread;
    });
    /** Created and used on the executor's thread. */
    private ConfigValidator validator;

    private long lastCall;

    /**
     * No calls yet.
     *
     * @param clockMs steady, in milliseconds
     */
    OperatorCalls(EventLoop loop, DoubleSupplier clockMs, ConsensusNode consensus) {
        this.loop = loop;
        this.clockMs = clockMs;
        this.consensus = consensus;
        // Before the first call, because loading the validator takes longer than checking with it.
        checkExecutor.execute(() -> validator = new ConfigValidator());
    }

    /** The number of calls that are not answered yet. */
    int pendingCalls() {
        return pendingCalls.size();
    }

    /** Executes a call and answers it once, now or later, from any thread. */
    void run(RpcCall call, Consumer<RpcResponse> respond) {
        if (call instanceof RpcCall.Replace replace) {
            checkExecutor.execute(() -> check(replace, respond));
        } else if (call instanceof RpcCall.Read) {
            consensus.read(clockMs.getAsDouble(), register(respond));
        } else {
            respond.accept(RpcResponse.error(HttpResponseStatus.NOT_FOUND, "endpoints call the sidecar beside them"));
        }
    }

    // On the executor's thread.
    private void check(RpcCall.Replace replace, Consumer<RpcResponse> respond) {
        try {
            MeshConfig config = reader.read(replace.body());
            validator.check(config);
            String digest = ConfigCodec.digest(replace.body());
            byte[] deflated = ConfigCodec.deflate(replace.body());
            loop.execute(() -> GuardedTask.run(() -> consensus.replace(
                    clockMs.getAsDouble(), register(respond), config.version(), replace.builtOn(), digest, deflated)));
        } catch (InvalidConfigException e) {
            Event.CALL_REJECTED.log(e.getMessage());
            respond.accept(RpcResponse.error(HttpResponseStatus.BAD_REQUEST, e.getMessage()));
        } catch (RuntimeException e) {
            Event.INTERNAL_ERROR.log("checking a configuration failed: " + e);
            respond.accept(unavailable("the configuration could not be checked"));
        }
    }

    private long register(Consumer<RpcResponse> respond) {
        lastCall++;
        pendingCalls.put(lastCall, respond);
        return lastCall;
    }

    /** The consensus has completed a replace. */
    void replaceCompleted(long call, ConsensusNode.CallResult result) {
        Consumer<RpcResponse> respond = pendingCalls.remove(call);
        if (respond == null) {
            return;
        }
        respond.accept(
                switch (result) {
                    case TAKEN -> RpcResponse.done();
                    case MISMATCH ->
                        RpcResponse.error(
                                HttpResponseStatus.PRECONDITION_FAILED, "If-Match is not the version in force");
                    case OLD_VERSION ->
                        RpcResponse.error(HttpResponseStatus.BAD_REQUEST, "Epoch does not exceed the one in force");
                    case UNCLEAR -> unavailable(NO_MAJORITY);
                });
    }

    /** The consensus has completed a read; {@code newest} is null if no decision could be confirmed. */
    void readCompleted(long call, Decision newest) {
        Consumer<RpcResponse> respond = pendingCalls.remove(call);
        if (respond != null) {
            respond.accept(response(newest));
        }
    }

    private static RpcResponse response(Decision newest) {
        if (newest == null) {
            return unavailable(NO_MAJORITY);
        }
        if (newest.version() == 0) {
            return RpcResponse.error(HttpResponseStatus.NOT_FOUND, "no configuration was taken yet");
        }
        try {
            return new RpcResponse(HttpResponseStatus.OK.code(), ConfigCodec.inflate(newest.body()));
        } catch (IOException e) {
            Event.INTERNAL_ERROR.log("the configuration agreed on can't be inflated: " + e.getMessage());
            return unavailable("the configuration can't be read here");
        }
    }

    private static RpcResponse unavailable(String message) {
        return RpcResponse.error(HttpResponseStatus.SERVICE_UNAVAILABLE, message);
    }
}
