package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.List;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.settings.SettingKey;
import org.wigeonferry.settings.SettingKeys;

/**
 * Settings that entries and agents share.
 *
 * <p>Immutable and thread safe.
 */
public final class NodeKeys {
    /** Name of the process. */
    public static final SettingKey<String> NAME =
            SettingKeys.text("node", "name", "Name of this process; stays over restarts.");

    /** Availability zone. */
    public static final SettingKey<String> ZONE =
            SettingKeys.text("node", "zone", "Availability zone of this host.");

    /** Address for peers. */
    public static final SettingKey<HostAddress> PEER_ADDRESS =
            SettingKeys.address(
                    "node", "peer-address", "Where this process listens to its own kind.");

    /** Entries to ask first. */
    public static final SettingKey<List<HostAddress>> SEEDS =
            SettingKeys.addresses("peers", "entries", "Peer addresses of a few entries.");

    /** Secret that the system's processes share. */
    public static final SettingKey<String> PEER_KEY =
            SettingKeys.text("peers", "key", "Secret that this system's processes share.");

    /** Pause between exchanges. */
    public static final SettingKey<Duration> EXCHANGE_PERIOD =
            SettingKeys.millis(
                    "peers", "exchange-period-ms", 50, 10_000, 1000, "Pause between exchanges.");

    /** Bound on the age of the configuration. */
    public static final SettingKey<Duration> FRESHNESS_BOUND =
            SettingKeys.millis(
                    "peers",
                    "freshness-bound-ms",
                    200,
                    60_000,
                    5000,
                    "Age of the newest news beyond which no work is admitted.");

    /** How long a silent peer is remembered. */
    public static final SettingKey<Duration> PEER_LIFETIME =
            SettingKeys.millis(
                    "peers",
                    "lifetime-ms",
                    1000,
                    600_000,
                    30_000,
                    "How long a silent peer is kept.");

    /** Most peers. */
    public static final SettingKey<Integer> MAX_PEERS =
            SettingKeys.number("peers", "max", 4, 1024, 64, "Most entries that are remembered.");

    /** Table service. */
    public static final SettingKey<HostAddress> TABLE_ADDRESS =
            SettingKeys.address("platform", "table", "The platform's table service.");

    /** Timeout of the table service. */
    public static final SettingKey<Duration> TABLE_TIMEOUT =
            SettingKeys.millis(
                    "platform",
                    "table-timeout-ms",
                    10,
                    60_000,
                    1000,
                    "Longest wait for the table.");

    /** JSON logs. */
    public static final SettingKey<Boolean> LOG_JSON =
            SettingKeys.flag("log", "json", false, "Whether log lines are JSON.");

    /** Deadline of a planned stop. */
    public static final SettingKey<Duration> STOP_DEADLINE =
            SettingKeys.millis(
                    "node",
                    "stop-deadline-ms",
                    0,
                    600_000,
                    30_000,
                    "Longest time that a planned stop waits for work in flight.");

    /** Time for others to learn of a planned stop. */
    public static final SettingKey<Duration> STOP_GRACE =
            SettingKeys.millis(
                    "node",
                    "stop-grace-ms",
                    0,
                    60_000,
                    2000,
                    "Time of a planned stop in which others learn of it: an entry still takes"
                            + " requests, an agent still refuses orders.");

    private NodeKeys() {}

    /** All of them. */
    public static List<SettingKey<?>> all() {
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
