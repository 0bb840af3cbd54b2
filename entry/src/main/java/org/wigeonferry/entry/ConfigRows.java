package org.wigeonferry.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.ReleaseNote;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.Row;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.platform_clients.JsonCalls;

/**
 * Rows of the table service that hold the configuration.
 *
 * <p>Stateless and thread safe.
 */
final class ConfigRows {
    /** Row with the newest revision. */
    static final String HEAD_KEY = "config/head";

    /** Row with a recent snapshot. */
    static final String SNAPSHOT_KEY = "config/snapshot";

    /** Prefix of the rows with release notes. */
    static final String NOTE_KEY_PREFIX = "config/note/";

    private static final String OPERATIONS = "config/operation/";

    private ConfigRows() {}

    static String noteKey(Revision revision) {
        return NOTE_KEY_PREFIX + String.format(Locale.ROOT, "%016d", revision.number());
    }

    static String operationKey(ReleaseNote note) {
        return OPERATIONS + note.operationId();
    }

    static RowPut headRow(Revision revision) {
        return new RowPut(HEAD_KEY, Long.toString(revision.number()));
    }

    static Revision parseRevision(Row row) {
        return new Revision(Long.parseLong(row.value()));
    }

    /** The note with who, why and when: the audit record of the change. */
    static RowPut noteRow(ReleaseNote note, Revision revision, long atMillis) {
        ObjectNode json = JsonCalls.object();
        json.put("revision", revision.number());
        json.put("operation", note.operationId());
        json.put("author", note.author());
        json.put("reason", note.reason());
        json.put("at_millis", atMillis);
        json.put("text", note.text());
        return new RowPut(noteKey(revision), json.toString());
    }

    static CommittedNote parseNote(Row row, boolean snapshot) {
        JsonNode json = JsonCalls.parse(row.value());
        return new CommittedNote(
                new Revision(json.path("revision").asLong()), json.path("text").asText(), snapshot);
    }

    static RowPut snapshotRow(CommittedNote snapshot) {
        ObjectNode json = JsonCalls.object();
        json.put("revision", snapshot.revision().number()).put("text", snapshot.text());
        return new RowPut(SNAPSHOT_KEY, json.toString());
    }
}
