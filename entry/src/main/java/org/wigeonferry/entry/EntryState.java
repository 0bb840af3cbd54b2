package org.wigeonferry.entry;

import java.util.Random;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.decisions.AccountConcurrencyLimiter;
import org.wigeonferry.decisions.BillLedger;
import org.wigeonferry.decisions.CascadePolicy;
import org.wigeonferry.decisions.RetryBudget;
import org.wigeonferry.decisions.SubsetSelection;
import org.wigeonferry.decisions.UpstreamChoosers;
import org.wigeonferry.decisions.UpstreamRouter;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.settings.Settings;

/**
 * Mutable state of an entry process; {@link ControlState} is the part that agents have too.
 *
 * <p>Not thread safe; owned by the control thread.
 */
final class EntryState {
    private static final double MAX_BURST_RETRIES = 20;

    private final ControlState controlState;
    private final UpstreamRouter upstreamRouter;
    private final CascadePolicy cascadePolicy;
    private final AccountConcurrencyLimiter accountLimiter = new AccountConcurrencyLimiter();
    private final RetryBudget retryBudget;
    private final BillLedger billLedger;
    private final CapacityQueue capacityQueue;
    private boolean isStopping;
    private Runnable idleAction = () -> {};

    EntryState(ControlExecutor control, ControlState controlState, Settings settings) {
        this.controlState = controlState;
        capacityQueue = new CapacityQueue(control);
        Random random = new Random(controlState.identity().startMillis());
        SubsetSelection subsetSelection =
                new SubsetSelection(
                        controlState.identity().node(),
                        settings.value(EntrySettingKeys.UPSTREAMS_PER_VERSION));
        upstreamRouter =
                new UpstreamRouter(subsetSelection, UpstreamChoosers.powerOfTwoChoices(random));
        cascadePolicy = new CascadePolicy(random);
        retryBudget =
                new RetryBudget(
                        settings.value(EntrySettingKeys.RETRIES_PER_REQUEST), MAX_BURST_RETRIES);
        billLedger = new BillLedger(settings.value(EntrySettingKeys.MAX_PENDING_BILLS));
        controlState.addCatalogListener(this::onCatalog);
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

    /** Refuses new requests from now on; runs the action once no request is in flight. */
    void stopAdmitting(Runnable onIdle) {
        isStopping = true;
        idleAction = onIdle;
        runIdleActionIfIdle();
    }

    /**
     * Runs the action of {@link #stopAdmitting} if the entry is stopping and no request is in
     * flight; call after each request has ended.
     */
    void runIdleActionIfIdle() {
        if (isStopping && accountLimiter.totalInFlight() == 0) {
            idleAction.run();
        }
    }

    private void onCatalog(Catalog catalog) {
        upstreamRouter.onCatalogChange(catalog);
        cascadePolicy.onCatalogChange(catalog);
    }
}
