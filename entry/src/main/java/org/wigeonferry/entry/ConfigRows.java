package org.wigeonferry.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.ReleaseNote;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.Row;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Keys and contents of the table service's rows that store the configuration.
 *
 * <p>Stateless and thread safe.
 */
final class ConfigRows {
    /** Key of the row with the newest revision. */
    static final String HEAD_KEY = "config/head";

    /** Key of the row with the latest snapshot of the configuration. */
    static final String SNAPSHOT_KEY = "config/snapshot";

    /** Key prefix of the rows with release notes; a revision of fixed width follows. */
    static final String NOTE_KEY_PREFIX = "config/note/";

    /** Key prefix of the rows with the revision that an operation was committed as. */
    private static final String OPERATION_KEY_PREFIX = "config/operation/";

    private ConfigRows() {}

    static String noteKey(Revision revision) {
        return NOTE_KEY_PREFIX + String.format(Locale.ROOT, "%016d", revision.number());
    }

    static String operationKey(ReleaseNote note) {
        return OPERATION_KEY_PREFIX + note.operationId();
    }

    static RowPut headRow(Revision revision) {
        return new RowPut(HEAD_KEY, Long.toString(revision.number()));
    }

    /** Parses the value of the newest-revision row or of an operation's row. */
    static Revision parseRevision(Row row) {
        return new Revision(Long.parseLong(row.value()));
    }

    /**
     * Returns the row of a note. It is also the audit record of the change: its author, its reason
     * and the time of the commit, in milliseconds since 1970 by this host's clock.
     */
    static RowPut noteRow(ReleaseNote note, Revision revision, long committedAtMillis) {
        ObjectNode json = JsonHttpClient.newObject();
        json.put("revision", revision.number());
        json.put("operation", note.operationId());
        json.put("author", note.author());
        json.put("reason", note.reason());
        json.put("at_millis", committedAtMillis);
        json.put("text", note.text());
        return new RowPut(noteKey(revision), json.toString());
    }

    /** Parses the value of a note's row or, if {@code snapshot} is set, of the snapshot row. */
    static CommittedNote parseNote(Row row, boolean snapshot) {
        JsonNode json = JsonHttpClient.parseJson(row.value());
        return new CommittedNote(
                new Revision(json.path("revision").asLong()), json.path("text").asText(), snapshot);
    }

    static RowPut snapshotRow(CommittedNote snapshot) {
        ObjectNode json = JsonHttpClient.newObject();
        json.put("revision", snapshot.revision().number()).put("text", snapshot.text());
        return new RowPut(SNAPSHOT_KEY, json.toString());
    }
}
