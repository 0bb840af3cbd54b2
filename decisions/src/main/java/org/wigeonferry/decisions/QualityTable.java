package org.wigeonferry.decisions;

import java.util.Map;
import org.wigeonferry.core_types.ClassId;
import org.wigeonferry.core_types.ModelVersion;

/**
 * Learns how well each version answers each class, from ratings of first stages.
 *
 * <p>Old ratings fade, so that a drift shows. Invariant: at most {@link #MAX_ENTRIES} pairs are
 * kept. Not thread safe; owned by the control thread.
 */
public final class QualityTable {
    /** Most pairs of class and version. */
    public static final int MAX_ENTRIES = 4096;

    private final Map<String, QualityRecord> records = new BoundedMap<>(MAX_ENTRIES);

    /** Mean rating that is expected of a version. */
    public double expectedRating(ClassId type, ModelVersion version) {
        return record(type, version).expectedRating(version.expectedQuality());
    }

    /** Notes the rating of a first stage; later stages get harder requests. */
    public void onRating(ClassId type, ModelVersion version, double rating) {
        records.put(key(type, version), record(type, version).with(rating));
    }

    private QualityRecord record(ClassId type, ModelVersion version) {
        return records.getOrDefault(key(type, version), QualityRecord.EMPTY);
    }

    private static String key(ClassId type, ModelVersion version) {
        return type + "/" + version.id();
    }
}
