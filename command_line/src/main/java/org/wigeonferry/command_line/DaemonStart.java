package org.wigeonferry.command_line;

import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.Daemon;
import org.wigeonferry.settings.Settings;

/**
 * Starts a daemon from its settings.
 *
 * <p>Implementations are stateless and thread safe.
 */
@FunctionalInterface
interface DaemonStart {
    Daemon start(Settings settings) throws StepException;
}
