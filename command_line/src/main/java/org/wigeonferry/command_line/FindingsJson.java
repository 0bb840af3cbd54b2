package org.wigeonferry.command_line;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.Locale;
import org.wigeonferry.platform.ConfigFinding;

/**
 * Encodes findings on a configuration as JSON, for scripts.
 *
 * <p>Stateless and thread safe.
 */
final class FindingsJson {
    private FindingsJson() {}

    /** An array of objects with {@code severity}, {@code location} and {@code message}. */
    static String encode(List<ConfigFinding> findings) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        findings.forEach(
                finding ->
                        array.addObject()
                                .put("severity", finding.severity().name().toLowerCase(Locale.ROOT))
                                .put("location", finding.location())
                                .put("message", finding.message()));
        return array.toString();
    }
}
