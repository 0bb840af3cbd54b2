package org.wigeonferry.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.wigeonferry.core_types.ReleaseNote;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.settings.ReleaseNoteParser;
import org.wigeonferry.settings.SettingsException;
import org.wigeonferry.stand_ins.FaultyTable;
import org.wigeonferry.stand_ins.TableRows;
import org.wigeonferry.stand_ins.VirtualTime;

/** Operators commit notes concurrently on several entries, with a table service that fails. */
class CommitterFuzzTest {
    private static final Duration RUN_TIME = Duration.ofMinutes(5);
    private static final List<String> ZONES = List.of("ibadan", "oyo-town", "ogbomoso");

    @Property(tries = 300, seed = "20261204")
    void eachCommittedNoteHasExactlyOneRevision(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 8) int notes,
            @ForAll @IntRange(min = 0, max = 50) int faultPercent)
            throws SettingsException, ReleaseNoteException {
        Random random = new Random(seed ^ Long.getLong("wigeonferry.fuzz.seed", 0));
        VirtualTime time = new VirtualTime();
        TableRows rows = new TableRows();
        FaultyTable table = new FaultyTable(rows, time, random, faultPercent / 100.0);
        List<CommitterNode> nodes = new ArrayList<>();
        for (String zone : ZONES) {
            nodes.add(new CommitterNode(zone, time, table, nodes));
        }
        Map<String, CommitResult> results = new HashMap<>();
        for (int i = 0; i < notes; i++) {
            ReleaseNote note = newNote("operation-" + i, "class-" + i);
            CommitterNode node = nodes.get(random.nextInt(nodes.size()));
            Duration commitTime = Duration.ofMillis(random.nextInt(2000));
            time.after(
                    commitTime,
                    () ->
                            node.committer()
                                    .commit(note)
                                    .thenAccept(result -> results.put(note.operationId(), result)));
        }
        time.run(RUN_TIME);
        checkResults(rows, results, notes);
        nodes.forEach(node -> assertThat(node.revisionsStrictlyIncrease()).isTrue());
    }

    private static void checkResults(TableRows rows, Map<String, CommitResult> results, int notes) {
        assertThat(results).as("every commit call completes").hasSize(notes);
        long head =
                rows.read(ConfigRows.HEAD_KEY)
                        .map(ConfigRows::parseRevision)
                        .orElse(Revision.NONE)
                        .number();
        List<String> committed =
                rows.scan(ConfigRows.NOTE_KEY_PREFIX, "", 1000).stream()
                        .map(row -> ConfigRows.parseNote(row, false).text())
                        .toList();
        assertThat(committed).as("one note per revision").hasSize((int) head);
        assertThat(committed).as("no note is committed twice").doesNotHaveDuplicates();
        results.forEach(
                (operation, result) -> {
                    boolean isCommitted =
                            committed.stream().anyMatch(text -> text.contains(operation + "\n"));
                    switch (result.state()) {
                        case ACCEPTED, COMMITTED -> {
                            assertThat(isCommitted).as(operation + " " + result).isTrue();
                            String text = committed.get((int) result.revision().number() - 1);
                            assertThat(text).contains(operation + "\n");
                        }
                        case CONFLICT, REJECTED -> assertThat(isCommitted).as(operation).isFalse();
                        default -> {}
                    }
                });
    }

    private static ReleaseNote newNote(String operation, String name) throws ReleaseNoteException {
        return ReleaseNoteParser.parse(
                "[note]\noperation = "
                        + operation
                        + "\n[class "
                        + name
                        + "]\nquality-target = 0.5\n");
    }
}
