package org.wigeonferry.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.node_runtime.NodeKeys;
import org.wigeonferry.settings.SettingKey;
import org.wigeonferry.settings.SettingKeys;

/**
 * Settings of an agent.
 *
 * <p>Immutable and thread safe.
 */
public final class AgentKeys {
    /** Upstream beside which the agent runs. */
    public static final SettingKey<String> UPSTREAM =
            SettingKeys.text("agent", "upstream", "Name of the upstream beside this process.");

    /** Address of the upstream itself. */
    public static final SettingKey<HostAddress> UPSTREAM_ADDRESS =
            SettingKeys.address("agent", "upstream-address", "Where the upstream listens.");

    /** First tokens later than this show overload. */
    public static final SettingKey<Duration> SLOW_FIRST_TOKEN =
            SettingKeys.millis(
                    "agent",
                    "slow-first-token-ms",
                    1,
                    60_000,
                    1500,
                    "First tokens later than this halve the load limit.");

    /** How long a good first token vouches for the limit. */
    public static final SettingKey<Duration> EVIDENCE_LIFETIME =
            SettingKeys.millis(
                    "agent",
                    "evidence-lifetime-ms",
                    100,
                    600_000,
                    10_000,
                    "Without a good first token for so long, the load limit falls to a quarter.");

    /** Good first tokens for a rise of the limit. */
    public static final SettingKey<Integer> FIRST_TOKENS_PER_INCREASE =
            SettingKeys.number(
                    "agent",
                    "answers-per-rise",
                    1,
                    10_000,
                    12,
                    "Fewest good first tokens for a rise of the load limit by one; at least the"
                            + " answers in which the engine comes to bear one request more.");

    private AgentKeys() {}

    /** All keys of an agent's settings. */
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
