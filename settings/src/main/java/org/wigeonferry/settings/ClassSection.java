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
final class ClassSection {
    private ClassSection() {}

    static SectionReader reader() {
        return section -> {
            section.allow("quality-target", "deadline-ms");
            RequestClassId id = section.named("a class name", RequestClassId::new);
            Optional<Double> target =
                    section.value("quality-target", "0 to 1", Double::parseDouble);
            Optional<Duration> deadline =
                    section.value(
                            "deadline-ms",
                            "milliseconds",
                            text -> Duration.ofMillis(Long.parseLong(text)));
            return draft -> {
                RequestClass known = draft.requestClasses().get(id);
                RequestClassBuilder builder =
                        known == null ? RequestClass.builder().id(id) : known.toBuilder();
                target.ifPresent(builder::qualityTarget);
                deadline.ifPresent(builder::timeLimit);
                draft.requestClasses().put(id, Built.of(section, builder::build));
            };
        };
    }
}
