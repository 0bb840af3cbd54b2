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
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.settings.Settings;

/**
 * Control state of an entry.
 *
 * <p>Not thread safe; owned by the control thread.
 */
final class EntryState {
    private static final double RETRY_BURST = 20;

    private final ControlState controlState;
    private final UpstreamRouter upstreamRouter;
    private final CascadePolicy cascadePolicy;
    private final AccountConcurrencyLimiter accountLimiter = new AccountConcurrencyLimiter();
    private final RetryBudget retryBudget;
    private final BillLedger billLedger;
    private final CapacityQueue capacityQueue;
    private boolean isStopping;
    private Runnable whenIdle = () -> {};

    EntryState(ControlExecutor control, ControlState shared, Settings settings) {
        this.controlState = shared;
        capacityQueue = new CapacityQueue(control);
        Random random = new Random(shared.identity().startMillis());
        SubsetSelection subsets =
                new SubsetSelection(
                        shared.identity().node(),
                        settings.value(EntrySettingKeys.UPSTREAMS_PER_VERSION));
        upstreamRouter = new UpstreamRouter(subsets, UpstreamChoices.powerOfTwoChoices(random));
        cascadePolicy = new CascadePolicy(random);
        retryBudget =
                new RetryBudget(settings.value(EntrySettingKeys.RETRIES_PER_REQUEST), RETRY_BURST);
        billLedger = new BillLedger(settings.value(EntrySettingKeys.MAX_PENDING_BILLS));
        shared.addCatalogListener(this::onCatalog);
    }

    ControlState controlState() {
        return controlState;
    }

    UpstreamRouter upstreamRouter() {
        return upstreamRouter;
    }

    CascadePolicy cascadePolicy() {
        return cascadePolicy;
    }

    AccountConcurrencyLimiter accountLimiter() {
        return accountLimiter;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    CapacityQueue capacityQueue() {
        return capacityQueue;
    }

    BillLedger billLedger() {
        return billLedger;
    }

    boolean isStopping() {
        return isStopping;
    }

    /** Admits nothing from now on; runs the action once no request is in flight. */
    void stopAdmitting(Runnable action) {
        isStopping = true;
        whenIdle = action;
        runIdleActionIfIdle();
    }

    /** Looks whether a stop may go on; call after a request left. */
    void runIdleActionIfIdle() {
        if (isStopping && accountLimiter.totalInFlight() == 0) {
            whenIdle.run();
        }
    }

    private void onCatalog(Catalog catalog) {
        upstreamRouter.onCatalog(catalog);
        cascadePolicy.onCatalog(catalog);
    }
}
