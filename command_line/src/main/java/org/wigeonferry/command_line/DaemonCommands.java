package org.wigeonferry.command_line;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.LongSupplier;
import org.apache.commons.cli.CommandLine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.agent.Agent;
import org.wigeonferry.agent.AgentKeys;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.entry.Entry;
import org.wigeonferry.entry.EntrySettingKeys;
import org.wigeonferry.node_runtime.Daemon;
import org.wigeonferry.node_runtime.LoggingSetup;
import org.wigeonferry.node_runtime.NodeKeys;
import org.wigeonferry.platform.PlatformRouter;
import org.wigeonferry.platform.RouterSettingKeys;
import org.wigeonferry.settings.SettingKey;
import org.wigeonferry.settings.Settings;
import org.wigeonferry.settings.SettingsReader;
import org.wigeonferry.stand_ins.DeskStandIn;
import org.wigeonferry.stand_ins.EngineStandIn;
import org.wigeonferry.stand_ins.StandInKeys;
import org.wigeonferry.stand_ins.TableStandIn;
import sun.misc.Signal;

/**
 * Commands that run a daemon until the process is told to stop.
 *
 * <p>Stateless and thread safe.
 */
final class DaemonCommands {
    /** What a daemon prints once it serves. */
    static final String READY = "ready";

    private static final Logger LOG = LoggerFactory.getLogger("process");
    private static final String[] WITH_VALUE = {"config"};
    private static final Duration STAND_IN_DEADLINE = Duration.ofSeconds(1);

    private DaemonCommands() {}

    static Command entry() {
        return arguments -> {
            Settings settings = settings("entry", arguments, EntrySettingKeys.all());
            LoggingSetup.logToStderr(settings.value(NodeKeys.LOG_JSON));
            return run(Entry::new, settings, settings.value(NodeKeys.STOP_DEADLINE));
        };
    }

    static Command agent() {
        return arguments -> {
            Settings settings = settings("agent", arguments, AgentKeys.all());
            LoggingSetup.logToStderr(settings.value(NodeKeys.LOG_JSON));
            return run(Agent::new, settings, settings.value(NodeKeys.STOP_DEADLINE));
        };
    }

    static Command router() {
        return arguments -> {
            LongSupplier dropped = LoggingSetup.logJsonLinesToStdout();
            Settings settings = settings("router", arguments, RouterSettingKeys.all());
            onHangUp(arguments);
            return run(
                    checked -> new PlatformRouter(checked, dropped),
                    settings,
                    PlatformRouter.stopTimeout(settings));
        };
    }

    static Command standIn() {
        Map<String, DaemonStart> kinds =
                Map.of(
                        "engine", EngineStandIn::new,
                        "desk", DeskStandIn::new,
                        "table", TableStandIn::new);
        return arguments -> {
            LoggingSetup.logToStderr(false);
            CommandLine line = Arguments.parse("stand-in", arguments, WITH_VALUE);
            DaemonStart start = kinds.get(Arguments.word(line, "stand-in", 0));
            if (start == null) {
                throw new UsageException("stand-in", "expected one of " + kinds.keySet());
            }
            Settings settings = settings("stand-in", arguments, StandInKeys.all());
            return run(start, settings, STAND_IN_DEADLINE);
        };
    }

    /**
     * A hang-up means that the settings file changed; without a handler it would end the process.
     */
    private static void onHangUp(String[] arguments) {
        Signal.handle(new Signal("HUP"), signal -> readAgain(arguments));
    }

    private static void readAgain(String[] arguments) {
        try {
            settings("router", arguments, RouterSettingKeys.all());
            LOG.info("settings read again and valid; they are in force from the next start on");
        } catch (StepException e) {
            LOG.atError()
                    .addKeyValue("cause", String.valueOf(e.getMessage()))
                    .log(
                            "settings read again are not valid; the process goes on with the old ones");
        }
    }

    private static Settings settings(String command, String[] arguments, List<SettingKey<?>> keys)
            throws StepException {
        CommandLine line = Arguments.parse(command, arguments, WITH_VALUE);
        return SettingsReader.read(Path.of(Arguments.required(line, command, "config")), keys);
    }

    private static int run(DaemonStart start, Settings settings, Duration deadline)
            throws StepException {
        Daemon daemon = start.start(settings);
        CountDownLatch stopped = new CountDownLatch(1);
        Thread hook =
                new Thread(
                        () -> {
                            daemon.drain(deadline);
                            daemon.stop();
                            stopped.countDown();
                        },
                        "stop");
        Runtime.getRuntime().addShutdownHook(hook);
        System.out.println(READY);
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCodes.OK;
    }
}
