package org.wigeonferry.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wigeonferry.core_types.ApiKeyDigest;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.node_runtime.NodeKeys;
import org.wigeonferry.settings.SettingKey;
import org.wigeonferry.settings.SettingKeyFactory;

/**
 * Keys of the settings of an entry process.
 *
 * <p>Immutable and thread safe.
 */
public final class EntrySettingKeys {
    /** Address of the server for callers. */
    public static final SettingKey<HostAddress> CALLER_ADDRESS =
            SettingKeyFactory.addressKey(
                    "entry", "caller-address", "Address at which the entry listens for callers.");

    /** Address of the administration API. */
    public static final SettingKey<HostAddress> ADMIN_ADDRESS =
            SettingKeyFactory.addressKey(
                    "entry", "admin-address", "Address at which the entry listens for operators.");

    /** Digests of all valid operator keys. */
    public static final SettingKey<List<ApiKeyDigest>> ADMIN_KEY_DIGESTS =
            new SettingKey<>(
                    "entry",
                    "admin-key-digests",
                    "salt:digest pairs, separated by commas",
                    Optional.empty(),
                    "Salted digests of all valid operator keys.",
                    EntrySettingKeys::parseDigests);

    /** Secret key by which session ids are authenticated. */
    public static final SettingKey<String> SESSION_KEY =
            SettingKeyFactory.textKey(
                    "entry", "session-key", "Secret key by which session ids are authenticated.");

    /** Address of the service that rates answers. */
    public static final SettingKey<HostAddress> RATING_SERVICE_ADDRESS =
            SettingKeyFactory.addressKey(
                    "platform", "rater", "Address of the platform's rating service.");

    /** Timeout of a call of the rating service. */
    public static final SettingKey<Duration> RATING_TIMEOUT =
            SettingKeyFactory.millisKey(
                    "platform",
                    "rater-timeout-ms",
                    10,
                    60_000,
                    1000,
                    "Timeout of a call of the rating service.");

    /** Period of reading the newest configuration revision from the table service. */
    public static final SettingKey<Duration> STORE_POLL_PERIOD =
            SettingKeyFactory.millisKey(
                    "platform",
                    "poll-period-ms",
                    100,
                    60_000,
                    1000,
                    "Period of reading the newest configuration revision from the table service.");

    /**
     * Maximum number of upstreams of a version or service that an entry sends attempts to and keeps
     * load estimates for.
     */
    public static final SettingKey<Integer> UPSTREAMS_PER_VERSION =
            SettingKeyFactory.integerKey(
                    "routing",
                    "subset",
                    2,
                    1000,
                    16,
                    "Maximum upstreams of a version or service that an entry sends to.");

    /** Retries that each new request adds to the retry budget. */
    public static final SettingKey<Double> RETRIES_PER_REQUEST =
            SettingKeyFactory.decimalKey(
                    "routing",
                    "retry-share",
                    0,
                    1,
                    0.1,
                    "Retries allowed per new request, on average.");

    /** Time limit of requests whose request class is unknown or sets none. */
    public static final SettingKey<Duration> DEFAULT_TIME_LIMIT =
            SettingKeyFactory.millisKey(
                    "routing",
                    "default-deadline-ms",
                    100,
                    3_600_000,
                    30_000,
                    "Time limit of requests whose request class is unknown or sets none.");

    /** Period of writing a batch of bills to the table service. */
    public static final SettingKey<Duration> BILL_WRITE_PERIOD =
            SettingKeyFactory.millisKey(
                    "billing",
                    "write-period-ms",
                    10,
                    60_000,
                    1000,
                    "Period of writing a batch of bills to the table service.");

    /** Maximum number of bills of one entry that wait to be stored in the table service. */
    public static final SettingKey<Integer> MAX_PENDING_BILLS =
            SettingKeyFactory.integerKey(
                    "billing",
                    "max-pending",
                    100,
                    10_000_000,
                    200_000,
                    "Maximum bills of one entry that wait to be stored in the table service.");

    /** Exposures of a roll-out's steps, as percentages of the requests. */
    public static final SettingKey<List<Integer>> ROLLOUT_EXPOSURE_PERCENTS =
            new SettingKey<>(
                    "rollout",
                    "steps",
                    "percentages in ascending order, separated by commas",
                    Optional.of("1,5,25,50,100"),
                    "Exposures of a roll-out's steps, as percentages of the requests.",
                    text ->
                            SettingKeyFactory.splitAtCommas(text).stream()
                                    .map(Integer::parseInt)
                                    .toList());

    /** Attempts, and ratings, of the new version that an advance to the next step requires. */
    public static final SettingKey<Integer> ROLLOUT_MIN_SAMPLES =
            SettingKeyFactory.integerKey(
                    "rollout",
                    "samples",
                    10,
                    100_000,
                    50,
                    "Attempts, and ratings, that a roll-out's next step requires.");

    /** Tolerated loss in mean rating, on the scale from 0 to 1; a greater loss rolls back. */
    public static final SettingKey<Double> ROLLOUT_MAX_RATING_LOSS =
            SettingKeyFactory.decimalKey(
                    "rollout",
                    "rating-loss",
                    0,
                    1,
                    0.03,
                    "Tolerated loss in mean rating (ratings are 0 to 1).");

    /** Tolerated rise of the error rate, as a share of attempts; a greater rise rolls back. */
    public static final SettingKey<Double> ROLLOUT_MAX_ERROR_RATE_RISE =
            SettingKeyFactory.decimalKey(
                    "rollout",
                    "error-rise",
                    0,
                    1,
                    0.02,
                    "Tolerated rise of the error rate, as a share of attempts.");

    /** Period of checking the roll-outs in progress. */
    public static final SettingKey<Duration> ROLLOUT_CHECK_PERIOD =
            SettingKeyFactory.millisKey(
                    "rollout",
                    "period-ms",
                    100,
                    600_000,
                    2000,
                    "Period of checking the roll-outs in progress.");

    private EntrySettingKeys() {}

    /** Returns all setting keys of an entry, including those of every node. */
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

    private static List<ApiKeyDigest> parseDigests(String text) {
        return SettingKeyFactory.splitAtCommas(text).stream()
                .map(EntrySettingKeys::parseDigest)
                .toList();
    }

    private static ApiKeyDigest parseDigest(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length != 2) {
            throw new IllegalArgumentException("expected salt:digest");
        }
        return new ApiKeyDigest(parts[0], parts[1]);
    }
}
