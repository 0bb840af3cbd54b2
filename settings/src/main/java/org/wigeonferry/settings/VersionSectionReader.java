package org.wigeonferry.settings;

import java.util.Optional;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.ModelVersionBuilder;
import org.wigeonferry.core_types.VersionId;

/**
 * Reads {@code [version NAME]}: adds a version or changes the fields it names.
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
            Optional<Long> cost =
                    section.optionalValue(
                            "cost-micros-per-token", "a whole number", Long::parseLong);
            Optional<Double> quality =
                    section.optionalValue("expected-quality", "0 to 1", Double::parseDouble);
            Optional<Integer> exposure =
                    section.optionalValue("exposure-percent", "0 to 100", Integer::parseInt);
            return draft -> {
                ModelVersion known = draft.versions().get(id);
                if (known == null && model.isEmpty()) {
                    throw section.newError("a new version needs a model");
                }
                ModelVersionBuilder builder =
                        known == null ? ModelVersion.builder().id(id) : known.toBuilder();
                model.ifPresent(builder::model);
                cost.ifPresent(builder::costMicrosPerToken);
                quality.ifPresent(builder::expectedQuality);
                exposure.ifPresent(builder::exposurePercent);
                builder.withdrawn(false);
                draft.versions().put(id, InvariantErrors.buildOrThrow(section, builder::build));
            };
        };
    }
}
