package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.node_runtime.ingress.IngressKeys;
import org.wigeonferry.settings.SettingKey;
import org.wigeonferry.settings.SettingKeyFactory;

/**
 * Keys of the settings that both entries and agents have.
 *
 * <p>Immutable and thread safe.
 */
public final class NodeKeys {
    /** Name of this process. */
    public static final SettingKey<String> NAME =
            SettingKeyFactory.textKey(
                    "node", "name", "Name of this process; must stay the same over restarts.");

    /** Availability zone of this host. */
    public static final SettingKey<String> ZONE =
            SettingKeyFactory.textKey("node", "zone", "Availability zone of this host.");

    /** Address on which this process listens for other processes of the system. */
    public static final SettingKey<HostAddress> PEER_ADDRESS =
            SettingKeyFactory.addressKey(
                    "node",
                    "peer-address",
                    "Address on which this process listens for other processes of this system.");

    /** Peer addresses of the entries that a process contacts to join the system. */
    public static final SettingKey<List<HostAddress>> SEEDS =
            SettingKeyFactory.addressListKey(
                    "peers", "entries", "Peer addresses of a few entries, to join the system by.");

    /** Secret by which the processes of the system authenticate each other's calls. */
    public static final SettingKey<String> PEER_KEY =
            SettingKeyFactory.textKey(
                    "peers", "key", "Secret that all processes of this system share.");

    /** Pause between the periodic exchanges of a process with its peers. */
    public static final SettingKey<Duration> EXCHANGE_PERIOD =
            SettingKeyFactory.millisKey(
                    "peers",
                    "exchange-period-ms",
                    50,
                    10_000,
                    1000,
                    "Pause between periodic exchanges with peers.");

    /** Maximum age of the last confirmation of the configuration at which work is admitted. */
    public static final SettingKey<Duration> FRESHNESS_BOUND =
            SettingKeyFactory.millisKey(
                    "peers",
                    "freshness-bound-ms",
                    200,
                    60_000,
                    5000,
                    "Age of the last confirmation of the configuration beyond which no work is"
                            + " admitted.");

    /** How long a peer is kept after it was last seen. */
    public static final SettingKey<Duration> PEER_LIFETIME =
            SettingKeyFactory.millisKey(
                    "peers",
                    "lifetime-ms",
                    1000,
                    600_000,
                    30_000,
                    "How long a peer is kept after it was last seen.");

    /** Maximum number of entries that a process keeps as peers. */
    public static final SettingKey<Integer> MAX_PEERS =
            SettingKeyFactory.integerKey(
                    "peers",
                    "max",
                    4,
                    1024,
                    64,
                    "Maximum number of entries that this process keeps as peers.");

    /** Address of the platform's table service. */
    public static final SettingKey<HostAddress> TABLE_ADDRESS =
            SettingKeyFactory.addressKey(
                    "platform", "table", "Address of the platform's table service.");

    /** Timeout of a call to the table service. */
    public static final SettingKey<Duration> TABLE_TIMEOUT =
            SettingKeyFactory.millisKey(
                    "platform",
                    "table-timeout-ms",
                    10,
                    60_000,
                    1000,
                    "Timeout of a call to the table service.");

    /** Whether log lines are JSON rather than text. */
    public static final SettingKey<Boolean> LOG_JSON =
            SettingKeyFactory.booleanKey(
                    "log", "json", false, "Whether log lines are JSON rather than text.");

    /** Longest time that a planned stop waits for work in flight. */
    public static final SettingKey<Duration> STOP_DEADLINE =
            SettingKeyFactory.millisKey(
                    "node",
                    "stop-deadline-ms",
                    0,
                    600_000,
                    30_000,
                    "Longest time that a planned stop waits for work in flight.");

    /**
     * How long a process that stops keeps serving, so that callers and other processes notice the
     * stop.
     */
    public static final SettingKey<Duration> STOP_GRACE =
            SettingKeyFactory.millisKey(
                    "node",
                    "stop-grace-ms",
                    0,
                    60_000,
                    2000,
                    "How long a planned stop goes on answering so that others notice it: an entry"
                            + " still accepts requests, an agent answers orders with refusals.");

    private NodeKeys() {}

    /** All keys of this class. */
    public static List<SettingKey<?>> all() {
        List<SettingKey<?>> keys = new ArrayList<>(ownKeys());
        keys.addAll(IngressKeys.all());
        return List.copyOf(keys);
    }

    private static List<SettingKey<?>> ownKeys() {
        return List.of(
                NAME,
                ZONE,
                PEER_ADDRESS,
                STOP_DEADLINE,
                STOP_GRACE,
                SEEDS,
                PEER_KEY,
                EXCHANGE_PERIOD,
                FRESHNESS_BOUND,
                PEER_LIFETIME,
                MAX_PEERS,
                TABLE_ADDRESS,
                TABLE_TIMEOUT,
                LOG_JSON);
    }
}
