package org.wigeonferry.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.node_runtime.NodeKeys;
import org.wigeonferry.settings.SettingKey;
import org.wigeonferry.settings.SettingKeyFactory;

/**
 * Keys of an agent's settings.
 *
 * <p>Immutable and thread safe.
 */
public final class AgentKeys {
    /** Name of the upstream to which the agent controls access. */
    public static final SettingKey<String> UPSTREAM =
            SettingKeyFactory.textKey(
                    "agent",
                    "upstream",
                    "Name of the upstream to which this agent controls access.");

    /** Address on which the upstream listens. */
    public static final SettingKey<HostAddress> UPSTREAM_ADDRESS =
            SettingKeyFactory.addressKey(
                    "agent", "upstream-address", "Address on which the upstream listens.");

    /** Time to first token above which the upstream is taken to be overloaded. */
    public static final SettingKey<Duration> SLOW_FIRST_TOKEN =
            SettingKeyFactory.millisKey(
                    "agent",
                    "slow-first-token-ms",
                    1,
                    60_000,
                    1500,
                    "Time to first token above which the concurrency limit is halved.");

    /** Time without a first token that was not slow after which the limit is cut. */
    public static final SettingKey<Duration> EVIDENCE_LIFETIME =
            SettingKeyFactory.millisKey(
                    "agent",
                    "evidence-lifetime-ms",
                    100,
                    600_000,
                    10_000,
                    "If no first token arrives within slow-first-token-ms for this long, the"
                            + " concurrency limit falls to a quarter.");

    /** Minimum number of first tokens that were not slow for an increase of the limit by one. */
    public static final SettingKey<Integer> FIRST_TOKENS_PER_INCREASE =
            SettingKeyFactory.integerKey(
                    "agent",
                    "answers-per-rise",
                    1,
                    10_000,
                    12,
                    "Minimum number of first tokens within slow-first-token-ms for an increase of"
                            + " the concurrency limit by one. Set it to at least the number of"
                            + " answers after which a restarted engine can run one more request"
                            + " at a time; with a lower value the limit rises too fast.");

    private AgentKeys() {}

    /** Returns all keys, including those that agents share with entries. */
    public static List<SettingKey<?>> all() {
        List<SettingKey<?>> keys = new ArrayList<>(NodeKeys.all());
        keys.addAll(
                List.of(
                        UPSTREAM,
                        UPSTREAM_ADDRESS,
                        SLOW_FIRST_TOKEN,
                        EVIDENCE_LIFETIME,
                        FIRST_TOKENS_PER_INCREASE));
        return keys;
    }
}
