package org.wigeonferry.measurements;

import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.decisions.BillLedger;

/**
 * Memory of bills that wait for the store.
 *
 * <p>Not thread safe.
 */
final class BillCost {
    private static final int CAPACITY = 1_000_000;
    private static final int HOUR_AT_PEAK = 148_235;
    private static final List<Integer> SIZES = List.of(10_000, 50_000, 100_000, 200_000);

    private BillCost() {}

    static Series measure() {
        List<Point> points = new ArrayList<>();
        for (int size : SIZES) {
            long before = used();
            BillLedger ledger = new BillLedger(CAPACITY);
            for (int i = 0; i < size; i++) {
                ledger.add(bill(i));
            }
            points.add(new Point(size, used() - before));
            if (ledger.pendingCount() != size) {
                throw new IllegalStateException("bills were lost");
            }
        }
        return new Series("bills that wait", "bytes", "bills", points, HOUR_AT_PEAK);
    }

    private static Bill bill(int number) {
        return Bill.builder()
                .account(new AccountId("account-" + number % 50))
                .requestId(new RequestId("0f8fad5b-d9cb-469f-a165-" + (100_000_000_000L + number)))
                .servedBy("version-" + number % 31)
                .generatedTokens(200)
                .costMicros(number)
                .build();
    }

    private static long used() {
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        System.gc();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
