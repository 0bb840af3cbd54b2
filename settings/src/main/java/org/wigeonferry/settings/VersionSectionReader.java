package org.wigeonferry.settings;

import java.util.Optional;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.ModelVersionBuilder;
import org.wigeonferry.core_types.VersionId;

/**
 * Reads {@code [version NAME]}, which adds a model version or, if it exists, sets the fields whose
 * keys are present. A version that was withdrawn returns to service.
 *
 * <p>Stateless and thread safe.
 */
final class VersionSectionReader {
    private VersionSectionReader() {}

    static SectionReader create() {
        return section -> {
            section.requireOnlyKeys(
                    "model", "cost-micros-per-token", "expected-quality", "exposure-percent");
            VersionId id = section.parseName("a version name", VersionId::new);
            Optional<String> model = section.optionalText("model");
            Optional<Long> costMicrosPerToken =
                    section.optionalValue(
                            "cost-micros-per-token", "a whole number", Long::parseLong);
            Optional<Double> expectedQuality =
                    section.optionalValue("expected-quality", "0 to 1", Double::parseDouble);
            Optional<Integer> exposurePercent =
                    section.optionalValue("exposure-percent", "0 to 100", Integer::parseInt);
            return draft -> {
                ModelVersion existing = draft.versions().get(id);
                if (existing == null && model.isEmpty()) {
                    throw section.newError("a new version needs a model");
                }
                ModelVersionBuilder builder =
                        existing == null ? ModelVersion.builder().id(id) : existing.toBuilder();
                model.ifPresent(builder::model);
                costMicrosPerToken.ifPresent(builder::costMicrosPerToken);
                expectedQuality.ifPresent(builder::expectedRating);
                exposurePercent.ifPresent(builder::exposurePercent);
                builder.withdrawn(false);
                draft.versions().put(id, InvariantErrors.buildOrThrow(section, builder::build));
            };
        };
    }
}
