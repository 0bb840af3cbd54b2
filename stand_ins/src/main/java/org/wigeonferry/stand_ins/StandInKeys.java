package org.wigeonferry.stand_ins;

import java.time.Duration;
import java.util.List;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.settings.SettingKey;
import org.wigeonferry.settings.SettingKeyFactory;

/**
 * Settings of the stand-ins.
 *
 * <p>Immutable and thread safe.
 */
public final class StandInKeys {
    /** Address. */
    public static final SettingKey<HostAddress> ADDRESS =
            SettingKeyFactory.addressKey("stand-in", "address", "Where the stand-in listens.");

    /** Versions and skills of an engine. */
    public static final SettingKey<String> SKILLS =
            SettingKeyFactory.textKey(
                    "engine", "skills", "small-1:0.6", "Versions and their skill, 0 to 1.");

    /** Bearable load of a warm engine. */
    public static final SettingKey<Integer> WARM_CAPACITY =
            SettingKeyFactory.integerKey(
                    "engine", "warm-capacity", 1, 10_000, 8, "Requests that a warm engine bears.");

    /** Bearable load of a cold engine. */
    public static final SettingKey<Integer> COLD_CAPACITY =
            SettingKeyFactory.integerKey(
                    "engine", "cold-capacity", 1, 10_000, 2, "Requests that a cold engine bears.");

    /** Answers that add one to the bearable load. */
    public static final SettingKey<Integer> WARM_UP =
            SettingKeyFactory.integerKey(
                    "engine",
                    "warm-up",
                    1,
                    10_000,
                    3,
                    "Answers that add one to the bearable load.");

    /** Time to the first token. */
    public static final SettingKey<Duration> FIRST_TOKEN =
            SettingKeyFactory.millisKey(
                    "engine", "first-token-ms", 0, 60_000, 20, "Time to the first token.");

    /** Time between tokens. */
    public static final SettingKey<Duration> TOKEN =
            SettingKeyFactory.millisKey("engine", "token-ms", 0, 60_000, 4, "Time between tokens.");

    /** Tokens of an answer. */
    public static final SettingKey<Integer> TOKENS =
            SettingKeyFactory.integerKey(
                    "engine", "tokens", 1, 100_000, 12, "Tokens of an answer.");

    /** Time a call of the desk takes. */
    public static final SettingKey<Duration> DESK_DELAY =
            SettingKeyFactory.millisKey(
                    "desk", "delay-ms", 0, 60_000, 10, "Time that a call takes.");

    private StandInKeys() {}

    /** All keys of a stand-in's settings. */
    public static List<SettingKey<?>> all() {
        return List.of(
                ADDRESS,
                SKILLS,
                WARM_CAPACITY,
                COLD_CAPACITY,
                WARM_UP,
                FIRST_TOKEN,
                TOKEN,
                TOKENS,
                DESK_DELAY);
    }
}
