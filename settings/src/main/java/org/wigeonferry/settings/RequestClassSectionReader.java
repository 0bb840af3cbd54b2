package org.wigeonferry.settings;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.core_types.RequestClass;
import org.wigeonferry.core_types.RequestClassBuilder;
import org.wigeonferry.core_types.RequestClassId;

/**
 * Reads {@code [class NAME]}, which adds a request class or, if it exists, sets the fields whose
 * keys are present.
 *
 * <p>Stateless and thread safe.
 */
final class RequestClassSectionReader {
    private RequestClassSectionReader() {}

    static SectionReader create() {
        return section -> {
            section.requireOnlyKeys("quality-target", "deadline-ms");
            RequestClassId id = section.parseName("a request class name", RequestClassId::new);
            Optional<Double> qualityTarget =
                    section.optionalValue("quality-target", "0 to 1", Double::parseDouble);
            Optional<Duration> timeLimit =
                    section.optionalValue(
                            "deadline-ms",
                            "milliseconds",
                            text -> Duration.ofMillis(Long.parseLong(text)));
            return draft -> {
                RequestClass existing = draft.requestClasses().get(id);
                RequestClassBuilder builder =
                        existing == null ? RequestClass.builder().id(id) : existing.toBuilder();
                qualityTarget.ifPresent(builder::qualityTarget);
                timeLimit.ifPresent(builder::timeLimit);
                draft.requestClasses()
                        .put(id, InvariantErrors.buildOrThrow(section, builder::build));
            };
        };
    }
}
