package org.wigeonferry.command_line;

import java.util.List;
import org.wigeonferry.settings.SettingKey;

/**
 * Writes the page that lists all settings.
 *
 * <p>Stateless and thread safe.
 */
final class SettingsPage {
    private SettingsPage() {}

    /** The whole page. */
    static String page() {
        StringBuilder page = new StringBuilder("# Settings\n\n");
        page.append("Written by `wigeonferry config page`; a test holds it to the code.\n");
        ConfigCommands.keysByRole()
                .forEach(
                        (role, keys) ->
                                page.append("\n## ")
                                        .append(role)
                                        .append("\n\n")
                                        .append(table(keys)));
        return page.toString();
    }

    /** The table of some keys. */
    static String table(List<SettingKey<?>> keys) {
        StringBuilder table =
                new StringBuilder("| key | form | default | sets |\n|---|---|---|---|\n");
        for (SettingKey<?> key : keys) {
            String defaultText = key.defaultText().map(text -> "`" + text + "`").orElse("required");
            table.append("| `").append(key.fullName()).append("` | ").append(key.valueFormat());
            table.append(" | ")
                    .append(defaultText)
                    .append(" | ")
                    .append(key.description())
                    .append(" |\n");
        }
        return table.toString();
    }
}
