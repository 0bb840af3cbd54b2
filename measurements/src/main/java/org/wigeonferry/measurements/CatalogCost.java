package org.wigeonferry.measurements;

import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.settings.CatalogRenderer;
import org.wigeonferry.settings.ReleaseNoteApplier;

/**
 * Memory of a catalog, and the cost of a change to it.
 *
 * <p>Not thread safe.
 */
final class CatalogCost {
    private static final int COPIES = 20;
    private static final int REPEATS = 200;
    private static final int VERSIONS = 31;
    private static final int ACCOUNTS = 50;
    private static final List<Integer> SIZES = List.of(100, 475, 950, 1900);

    private CatalogCost() {}

    static List<Series> measure() {
        List<Point> memory = new ArrayList<>();
        List<Point> change = new ArrayList<>();
        List<Point> snapshot = new ArrayList<>();
        for (int size : SIZES) {
            Catalog catalog = Workload.catalog(size, VERSIONS, ACCOUNTS);
            memory.add(new Point(size, bytes(size)));
            change.add(new Point(size, Cost.of(REPEATS, () -> apply(catalog)).nanos() / 1000));
            snapshot.add(new Point(size, CatalogRenderer.render(catalog).length()));
        }
        return List.of(
                new Series("catalog in memory", "bytes", "upstreams", memory, 1900),
                new Series("change applied", "us", "upstreams", change, 1900),
                new Series("snapshot text", "bytes", "upstreams", snapshot, 1900));
    }

    private static double bytes(int size) {
        List<Catalog> kept = new ArrayList<>();
        long before = used();
        for (int i = 0; i < COPIES; i++) {
            kept.add(Workload.catalog(size, VERSIONS, ACCOUNTS));
        }
        long after = used();
        return (double) (after - before) / kept.size();
    }

    private static long used() {
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        System.gc();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void apply(Catalog catalog) {
        String text = "[note]\noperation = o\n[version version-1]\nexposure-percent = 50\n";
        try {
            ReleaseNoteApplier.applyCommitted(
                    catalog, new CommittedNote(catalog.revision().next(), text, false));
        } catch (ReleaseNoteException e) {
            throw new IllegalStateException(e);
        }
    }
}
