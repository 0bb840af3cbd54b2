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

/** Operators race one another through several entries, with a store that fails. */
class CommitterFuzzTest {
    private static final Duration LONG = Duration.ofMinutes(5);
    private static final List<String> ZONES = List.of("ibadan", "oyo-town", "ogbomoso");

    @Property(tries = 300, seed = "20261204")
    void committedNotesAreThereOnceAndInOrder(
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
            ReleaseNote note = note("operation-" + i, "class-" + i);
            CommitterNode node = nodes.get(random.nextInt(nodes.size()));
            Duration at = Duration.ofMillis(random.nextInt(2000));
            time.after(
                    at,
                    () ->
                            node.committer()
                                    .commit(note)
                                    .thenAccept(r -> results.put(note.operationId(), r)));
        }
        time.run(LONG);
        check(rows, results, notes);
        nodes.forEach(node -> assertThat(node.revisionsStrictlyIncrease()).isTrue());
    }

    private static void check(TableRows rows, Map<String, CommitResult> results, int notes) {
        assertThat(results).as("every operator is told an end").hasSize(notes);
        long head =
                rows.read(ConfigRows.HEAD_KEY)
                        .map(ConfigRows::parseRevision)
                        .orElse(Revision.NONE)
                        .number();
        List<String> committed =
                rows.scan(ConfigRows.NOTE_KEY_PREFIX, "", 1000).stream()
                        .map(row -> ConfigRows.parseNote(row, false).text())
                        .toList();
        assertThat(committed).as("one note a revision").hasSize((int) head);
        assertThat(committed).as("no note twice").doesNotHaveDuplicates();
        results.forEach(
                (operation, result) -> {
                    boolean there = committed.stream().anyMatch(t -> t.contains(operation + "\n"));
                    switch (result.state()) {
                        case ACCEPTED, COMMITTED -> {
                            assertThat(there).as(operation + " " + result).isTrue();
                            String text = committed.get((int) result.revision().number() - 1);
                            assertThat(text).contains(operation + "\n");
                        }
                        case CONFLICT, REJECTED -> assertThat(there).as(operation).isFalse();
                        default -> {}
                    }
                });
    }

    private static ReleaseNote note(String operation, String name) throws ReleaseNoteException {
        return ReleaseNoteParser.parse(
                "[note]\noperation = "
                        + operation
                        + "\n[class "
                        + name
                        + "]\nquality-target = 0.5\n");
    }
}
