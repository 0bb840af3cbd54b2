package org.wigeonferry.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wigeonferry.core_types.ApiKeyDigest;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.node_runtime.NodeKeys;
import org.wigeonferry.settings.SettingKey;
import org.wigeonferry.settings.SettingKeys;

/**
 * Settings of an entry.
 *
 * <p>Immutable and thread safe.
 */
public final class EntrySettingKeys {
    /** Address for callers. */
    public static final SettingKey<HostAddress> CALLER_ADDRESS =
            SettingKeys.address("entry", "caller-address", "Where callers connect.");

    /** Address for operators. */
    public static final SettingKey<HostAddress> ADMIN_ADDRESS =
            SettingKeys.address("entry", "admin-address", "Where operators connect.");

    /** Digest of the operators' key. */
    public static final SettingKey<List<ApiKeyDigest>> ADMIN_KEY_DIGESTS =
            new SettingKey<>(
                    "entry",
                    "admin-key-digests",
                    "salt:digest pairs, separated by commas",
                    Optional.empty(),
                    "Digests of the operators' valid keys.",
                    EntrySettingKeys::digests);

    /** Secret of session ids. */
    public static final SettingKey<String> SESSION_KEY =
            SettingKeys.text("entry", "session-key", "Secret that authenticates session ids.");

    /** Rating service. */
    public static final SettingKey<HostAddress> RATING_SERVICE_ADDRESS =
            SettingKeys.address("platform", "rater", "The platform's rating service.");

    /** Timeout of the rating service. */
    public static final SettingKey<Duration> RATING_TIMEOUT =
            SettingKeys.millis(
                    "platform", "rater-timeout-ms", 10, 60_000, 1000, "Longest wait for a rating.");

    /** Pause between reads of the newest revision. */
    public static final SettingKey<Duration> STORE_POLL_PERIOD =
            SettingKeys.millis(
                    "platform",
                    "poll-period-ms",
                    100,
                    60_000,
                    1000,
                    "Pause between reads of the newest revision in the store.");

    /** Upstreams of a version on which an entry keeps state. */
    public static final SettingKey<Integer> UPSTREAMS_PER_VERSION =
            SettingKeys.number(
                    "routing", "subset", 2, 1000, 16, "Upstreams a version that an entry uses.");

    /** Retries a request. */
    public static final SettingKey<Double> RETRIES_PER_REQUEST =
            SettingKeys.decimal(
                    "routing", "retry-share", 0, 1, 0.1, "Retries allowed for each fresh request.");

    /** Deadline of requests without a class. */
    public static final SettingKey<Duration> DEFAULT_TIME_LIMIT =
            SettingKeys.millis(
                    "routing",
                    "default-deadline-ms",
                    100,
                    3_600_000,
                    30_000,
                    "Deadline of requests whose class sets none.");

    /** Pause between bill writes. */
    public static final SettingKey<Duration> BILL_WRITE_PERIOD =
            SettingKeys.millis(
                    "billing", "write-period-ms", 10, 60_000, 1000, "Pause between bill writes.");

    /** Most bills that are not durable. */
    public static final SettingKey<Integer> MAX_PENDING_BILLS =
            SettingKeys.number(
                    "billing",
                    "max-pending",
                    100,
                    10_000_000,
                    200_000,
                    "Most bills held, for each owner, until the store has them.");

    /** Exposures of a roll-out. */
    public static final SettingKey<List<Integer>> ROLLOUT_EXPOSURE_PERCENTS =
            new SettingKey<>(
                    "rollout",
                    "steps",
                    "percentages, rising, separated by commas",
                    Optional.of("1,5,25,50,100"),
                    "Exposures through which a roll-out goes.",
                    text -> SettingKeys.words(text).stream().map(Integer::parseInt).toList());

    /** Samples of a step. */
    public static final SettingKey<Integer> ROLLOUT_MIN_SAMPLES =
            SettingKeys.number(
                    "rollout", "samples", 10, 100_000, 50, "Ratings needed to leave a step.");

    /** Loss in rating that is borne. */
    public static final SettingKey<Double> ROLLOUT_MAX_RATING_LOSS =
            SettingKeys.decimal(
                    "rollout", "rating-loss", 0, 1, 0.03, "Loss in mean rating that is borne.");

    /** Rise in errors that is borne. */
    public static final SettingKey<Double> ROLLOUT_MAX_ERROR_RATE_RISE =
            SettingKeys.decimal(
                    "rollout", "error-rise", 0, 1, 0.02, "Rise in the share of errors borne.");

    /** Pause between looks. */
    public static final SettingKey<Duration> ROLLOUT_CHECK_PERIOD =
            SettingKeys.millis(
                    "rollout",
                    "period-ms",
                    100,
                    600_000,
                    2000,
                    "Pause between looks at roll-outs.");

    private EntrySettingKeys() {}

    /** All keys of an entry's settings. */
    public static List<SettingKey<?>> all() {
        List<SettingKey<?>> keys = new ArrayList<>(NodeKeys.all());
        keys.addAll(
                List.of(
                        CALLER_ADDRESS,
                        ADMIN_ADDRESS,
                        ADMIN_KEY_DIGESTS,
                        SESSION_KEY,
                        RATING_SERVICE_ADDRESS,
                        RATING_TIMEOUT,
                        STORE_POLL_PERIOD,
                        UPSTREAMS_PER_VERSION,
                        RETRIES_PER_REQUEST,
                        DEFAULT_TIME_LIMIT,
                        BILL_WRITE_PERIOD,
                        MAX_PENDING_BILLS,
                        ROLLOUT_EXPOSURE_PERCENTS,
                        ROLLOUT_MIN_SAMPLES,
                        ROLLOUT_MAX_RATING_LOSS,
                        ROLLOUT_MAX_ERROR_RATE_RISE,
                        ROLLOUT_CHECK_PERIOD));
        return keys;
    }

    private static List<ApiKeyDigest> digests(String text) {
        return SettingKeys.words(text).stream().map(EntrySettingKeys::digest).toList();
    }

    private static ApiKeyDigest digest(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length != 2) {
            throw new IllegalArgumentException("expected salt:digest");
        }
        return new ApiKeyDigest(parts[0], parts[1]);
    }
}
