package org.wigeonferry.measurements;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.decisions.Role;
import org.wigeonferry.node_runtime.PushTargetSelector;
import org.wigeonferry.settings.CatalogRenderer;
import org.wigeonferry.settings.SettingsException;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * Spreads a change over many nodes in virtual time.
 *
 * <p>Not thread safe.
 */
final class SpreadRun {
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration SETTLE = Duration.ofSeconds(30);
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final Duration STEADY = Duration.ofSeconds(20);
    private static final int SEEDS = 3;
    private static final int CUT_REGION = 2;
    private static final long SEED = 20_261_204;

    private final String way;
    private final PushTargetSelector targets;
    private final VirtualTime time = new VirtualTime();
    private final VirtualNetwork network;
    private final List<VirtualNode> nodes = new ArrayList<>();

    private SpreadRun(String way, PushTargetSelector targets, double loss) {
        this.way = way;
        this.targets = targets;
        this.network = new VirtualNetwork(time, new Random(SEED), loss);
    }

    /** Spreads one change among entries. */
    static SpreadResult entries(
            String way, PushTargetSelector targets, int count, double loss, boolean cut)
            throws SettingsException {
        SpreadRun run = new SpreadRun(way, targets, loss);
        run.build(count, count);
        return run.spread(
                count, (cut ? "region cut, " : "") + Math.round(loss * 100) + "% lost", cut);
    }

    /** Spreads one change among entries and agents; agents ask entries only. */
    static SpreadResult withAgents(
            String way, PushTargetSelector targets, int entries, int count, double loss)
            throws SettingsException {
        SpreadRun run = new SpreadRun(way, targets, loss);
        run.build(entries, count);
        return run.spread(count, entries + " entries, the rest agents", false);
    }

    private void build(int entries, int count) throws SettingsException {
        List<HostAddress> seeds = new ArrayList<>();
        for (int i = 0; i < SEEDS; i++) {
            seeds.add(VirtualNode.address(i));
        }
        CommittedNote first =
                new CommittedNote(
                        new Revision(1),
                        CatalogRenderer.render(Workload.catalog(44, 31, 10)),
                        true);
        for (int i = 0; i < count; i++) {
            Role role = i < entries ? Role.ENTRY : Role.AGENT;
            VirtualNode node = new VirtualNode(i, role, time, network, seeds, targets);
            nodes.add(node);
        }
        nodes.get(0).commit(first);
        nodes.forEach(node -> node.start(PERIOD));
        time.run(SETTLE);
    }

    private SpreadResult spread(int count, String condition, boolean cut) {
        network.resetCounts();
        time.run(STEADY);
        double steadyBytes = (double) network.bytes() / STEADY.toSeconds();
        double steadyMessages = (double) network.messages() / STEADY.toSeconds();
        if (cut) {
            network.cut(CUT_REGION, true);
        }
        Predicate<VirtualNode> reachable = node -> !cut || node.region() != CUT_REGION;
        network.resetCounts();
        String text =
                "[note]\noperation = change\nauthor = operator\nreason = measured\n[version version-1]\nexposure-percent = 50\n";
        nodes.get(0).commit(new CommittedNote(new Revision(2), text, false));
        Duration passed = Duration.ZERO;
        while (passed.compareTo(LIMIT) < 0
                && nodes.stream().filter(reachable).anyMatch(node -> node.revision() < 2)) {
            time.run(STEP);
            passed = passed.plus(STEP);
        }
        double seconds = passed.toMillis() / 1000.0;
        return new SpreadResult(
                way,
                count,
                condition,
                seconds,
                Math.round(network.messages() - steadyMessages * seconds),
                (network.bytes() - steadyBytes * seconds) / 1000,
                steadyBytes / count);
    }
}
