package org.wigeonferry.settings;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.core_types.RequestClass;
import org.wigeonferry.core_types.RequestClassBuilder;
import org.wigeonferry.core_types.RequestClassId;

/**
 * Reads {@code [class NAME]}: adds a request class or changes the fields it names.
 *
 * <p>Stateless and thread safe.
 */
final class RequestClassSectionReader {
    private RequestClassSectionReader() {}

    static SectionReader create() {
        return section -> {
            section.requireOnlyKeys("quality-target", "deadline-ms");
            RequestClassId id = section.parseName("a class name", RequestClassId::new);
            Optional<Double> target =
                    section.optionalValue("quality-target", "0 to 1", Double::parseDouble);
            Optional<Duration> deadline =
                    section.optionalValue(
                            "deadline-ms",
                            "milliseconds",
                            text -> Duration.ofMillis(Long.parseLong(text)));
            return draft -> {
                RequestClass known = draft.requestClasses().get(id);
                RequestClassBuilder builder =
                        known == null ? RequestClass.builder().id(id) : known.toBuilder();
                target.ifPresent(builder::qualityTarget);
                deadline.ifPresent(builder::timeLimit);
                draft.requestClasses()
                        .put(id, InvariantErrors.buildOrThrow(section, builder::build));
            };
        };
    }
}
