package org.wigeonferry.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.VersionId;

class ReleaseNoteParserTest {
    private static final String NOTE_SECTION = "[note]\noperation = o1\n";
    private static final String NOTE_WITH_ALL_SECTIONS =
            NOTE_SECTION
                    + "[version small-1]\nmodel = small\ncost-micros-per-token = 2\n"
                    + "[version small-2]\nmodel = small\nexposure-percent = 10\n"
                    + "[withdraw small-1]\nsuccessor = small-2\n"
                    + "[class draft]\nquality-target = 0.8\ndeadline-ms = 900\n"
                    + "[account palace]\nversions = small-1, small-2\nservices = booking\n"
                    + "key-digests = 00ff:"
                    + "a".repeat(64)
                    + "\n"
                    + "[upstream e1]\nzone = ibadan\nagent = 127.0.0.1:9\nversions = small-2\n"
                    + "[zone ibadan]\nstate = out\n"
                    + "[drain e1]\n";

    @Test
    void allSectionsAreApplied() throws ReleaseNoteException {
        Catalog catalog = apply(NOTE_WITH_ALL_SECTIONS);
        assertThat(catalog.versions().get(new VersionId("small-1")).withdrawn()).isTrue();
        assertThat(catalog.upstreams()).hasSize(1);
        assertThat(catalog.disabledZones()).hasSize(1);
    }

    @Test
    void snapshotRecreatesTheCatalog() throws ReleaseNoteException {
        Catalog catalog = apply(NOTE_WITH_ALL_SECTIONS);
        String text = CatalogRenderer.render(catalog);
        CommittedNote snapshot = new CommittedNote(catalog.revision(), text, true);
        assertThat(ReleaseNoteApplier.applyCommitted(Catalog.EMPTY, snapshot)).isEqualTo(catalog);
    }

    @Test
    void changeKeepsTheFieldsOfAbsentKeys() throws ReleaseNoteException {
        String text = NOTE_SECTION + "[version small-2]\nexposure-percent = 50\n";
        Catalog changed =
                ReleaseNoteApplier.apply(
                        apply(NOTE_WITH_ALL_SECTIONS),
                        ReleaseNoteParser.parse(text),
                        new Revision(2));
        assertThat(changed.versions().get(new VersionId("small-2")).model()).isEqualTo("small");
    }

    @Test
    void errorNamesTheInvalidSectionOrKey() {
        assertRefused("", "note");
        assertRefused("[version x]\nmodel = m\n", "note");
        assertRefused(NOTE_SECTION + "[vision x]\n", "vision x");
        assertRefused(NOTE_SECTION + "[version x]\nmodle = m\n", "unknown key modle");
        assertRefused(NOTE_SECTION + "[version x]\nmodel = m\nexpected-quality = 2\n", "version x");
        assertRefused(
                NOTE_SECTION + "[version x]\nmodel = m\nexpected-quality = many\n",
                "expected-quality");
        assertRefused(
                NOTE_SECTION + "[version x]\nmodel = m\nexpected-quality = NaN\n", "version x");
        assertRefused(NOTE_SECTION + "[class c]\ndeadline-ms = -5\n", "class c");
        assertRefused(NOTE_SECTION + "[class c]\nquality-target = NaN\n", "class c");
        assertRefused(NOTE_SECTION + "[version X!]\nmodel = m\n", "version X!");
        assertRefused(NOTE_SECTION + "[version x]\n", "needs a model");
        assertRefused(NOTE_SECTION + "[withdraw x]\n", "no such version");
        assertRefused(NOTE_SECTION + "[zone a]\nstate = away\n", "in or out");
        assertRefused(NOTE_SECTION + "[account a]\nversions = none-1\n", "no such version");
        assertRefused(
                NOTE_SECTION + "[version x]\nmodel = m\n[version x]\nmodel = n\n",
                "more than once");
        assertRefused(NOTE_SECTION + "[remove upstream x]\n", "no such upstream");
    }

    @Test
    void refusedNoteChangesNothing() throws ReleaseNoteException {
        Catalog before = apply(NOTE_WITH_ALL_SECTIONS);
        String text = NOTE_SECTION + "[zone oyo-town]\nstate = out\n[withdraw none-1]\n";
        assertThatThrownBy(
                        () ->
                                ReleaseNoteApplier.apply(
                                        before, ReleaseNoteParser.parse(text), new Revision(2)))
                .isInstanceOf(ReleaseNoteException.class);
        assertThat(before).isEqualTo(apply(NOTE_WITH_ALL_SECTIONS));
    }

    private static void assertRefused(String text, String message) {
        assertThatThrownBy(() -> apply(text))
                .isInstanceOf(ReleaseNoteException.class)
                .hasMessageContaining(message);
    }

    private static Catalog apply(String text) throws ReleaseNoteException {
        return ReleaseNoteApplier.apply(
                Catalog.EMPTY, ReleaseNoteParser.parse(text), new Revision(1));
    }
}
