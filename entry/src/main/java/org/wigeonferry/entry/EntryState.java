package org.wigeonferry.entry;

import java.util.Random;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.decisions.AccountConcurrencyLimiter;
import org.wigeonferry.decisions.BillLedger;
import org.wigeonferry.decisions.CascadePolicy;
import org.wigeonferry.decisions.RetryBudget;
import org.wigeonferry.decisions.SubsetSelection;
import org.wigeonferry.decisions.UpstreamChoices;
import org.wigeonferry.decisions.UpstreamRouter;
import org.wigeonferry.node_runtime.Control;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.settings.Settings;

/**
 * Control state of an entry.
 *
 * <p>Not thread safe; owned by the control thread.
 */
final class EntryState {
    private static final double RETRY_BURST = 20;

    private final ControlState shared;
    private final UpstreamRouter router;
    private final CascadePolicy cascade;
    private final AccountConcurrencyLimiter limits = new AccountConcurrencyLimiter();
    private final RetryBudget retries;
    private final BillLedger bills;
    private final CapacityLine line;
    private boolean stopping;
    private Runnable whenIdle = () -> {};

    EntryState(Control control, ControlState shared, Settings settings) {
        this.shared = shared;
        line = new CapacityLine(control);
        Random random = new Random(shared.identity().epoch());
        SubsetSelection subsets =
                new SubsetSelection(shared.identity().node(), settings.value(EntryKeys.SUBSET));
        router = new UpstreamRouter(subsets, UpstreamChoices.powerOfTwoChoices(random));
        cascade = new CascadePolicy(random);
        retries = new RetryBudget(settings.value(EntryKeys.RETRY_SHARE), RETRY_BURST);
        bills = new BillLedger(settings.value(EntryKeys.MAX_BILLS));
        shared.onCatalog(this::onCatalog);
    }

    ControlState shared() {
        return shared;
    }

    UpstreamRouter router() {
        return router;
    }

    CascadePolicy cascade() {
        return cascade;
    }

    AccountConcurrencyLimiter limits() {
        return limits;
    }

    RetryBudget retries() {
        return retries;
    }

    CapacityLine line() {
        return line;
    }

    BillLedger bills() {
        return bills;
    }

    boolean stopping() {
        return stopping;
    }

    /** Admits nothing from now on; runs the action once no request is in flight. */
    void stopWhenIdle(Runnable action) {
        stopping = true;
        whenIdle = action;
        checkIdle();
    }

    /** Looks whether a stop may go on; call after a request left. */
    void checkIdle() {
        if (stopping && limits.totalInFlight() == 0) {
            whenIdle.run();
        }
    }

    private void onCatalog(Catalog catalog) {
        router.onCatalog(catalog);
        cascade.onCatalog(catalog);
    }
}
