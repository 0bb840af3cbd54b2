package org.wigeonferry.decisions;

import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeonferry.core_types.ClassId;
import org.wigeonferry.core_types.ModelVersion;

/**
 * Learns how well each version answers each class, from ratings.
 *
 * <p>Old ratings fade, so that a drift shows. Invariant: at most {@link #MAX_ENTRIES} pairs are
 * kept. Not thread safe; owned by the control thread.
 */
public final class QualityTable {
    /** Most pairs of class and version. */
    public static final int MAX_ENTRIES = 4096;

    private final Map<String, QualityRecord> records =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, QualityRecord> eldest) {
                    return size() > MAX_ENTRIES;
                }
            };

    /** Mean rating that is expected of a version. */
    public double expectedRating(ClassId type, ModelVersion version) {
        return record(type, version).expectedRating(version.expectedQuality());
    }

    /** Share of answers that is expected to be accepted at a threshold. */
    public double expectedAcceptance(ClassId type, ModelVersion version, double threshold) {
        return record(type, version).expectedAcceptance(version.expectedQuality(), threshold);
    }

    /** Notes a rating. */
    public void onRating(ClassId type, ModelVersion version, double rating, double threshold) {
        String key = key(type, version);
        records.put(key, record(type, version).with(rating, rating >= threshold));
    }

    private QualityRecord record(ClassId type, ModelVersion version) {
        return records.getOrDefault(key(type, version), QualityRecord.EMPTY);
    }

    private static String key(ClassId type, ModelVersion version) {
        return type + "/" + version.id();
    }
}
