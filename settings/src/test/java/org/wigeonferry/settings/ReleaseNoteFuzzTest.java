package org.wigeonferry.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.core_types.Revision;

class ReleaseNoteFuzzTest {
    private static final List<String> NOTE_FRAGMENTS =
            List.of(
                    "[note]\n",
                    "operation = o1\n",
                    "base = 0\n",
                    "base = -1\n",
                    "[version a]\n",
                    "model = m\n",
                    "exposure-percent = 101\n",
                    "expected-quality = NaN\n",
                    "[withdraw a]\n",
                    "successor = a\n",
                    "[account x]\n",
                    "versions = a\n",
                    "key-digests = zz\n",
                    "max-in-flight = 0\n",
                    "[upstream u]\n",
                    "zone = z\n",
                    "agent = nowhere\n",
                    "agent = 127.0.0.1:70000\n",
                    "agent = 127.0.0.1:7\n",
                    "[zone z]\n",
                    "state = out\n",
                    "[remove upstream ]\n",
                    "[remove upstream u]\n",
                    "[drain u]\n",
                    "[]\n",
                    "[ ]\n",
                    "=\n",
                    "deadline-ms = -5\n",
                    "[class c]\n",
                    "\u0000",
                    "[version",
                    "# remark\n",
                    "\\",
                    "[withdraw b]\n",
                    "model\n");

    @Property(tries = 5000, seed = "20261204")
    void anyTextGivesACatalogOrAReleaseNoteException(@ForAll long seed) {
        Random random = new Random(seed ^ Long.getLong("wigeonferry.fuzz.seed", 0));
        StringBuilder text =
                new StringBuilder(random.nextBoolean() ? "[note]\noperation = o\n" : "");
        int fragments = random.nextInt(12);
        for (int i = 0; i < fragments; i++) {
            text.append(NOTE_FRAGMENTS.get(random.nextInt(NOTE_FRAGMENTS.size())));
        }
        CommittedNote note = new CommittedNote(new Revision(1), text.toString(), false);
        try {
            Catalog catalog = ReleaseNoteApplier.applyCommitted(Catalog.EMPTY, note);
            String snapshot = CatalogRenderer.render(catalog);
            assertThat(
                            ReleaseNoteApplier.applyCommitted(
                                    Catalog.EMPTY,
                                    new CommittedNote(new Revision(1), snapshot, true)))
                    .as("snapshot of %s", text)
                    .isEqualTo(catalog);
        } catch (ReleaseNoteException e) {
            assertThat(e.getMessage()).isNotEmpty();
        }
    }
}
