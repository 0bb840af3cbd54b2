package org.wigeonferry.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.Peer;
import org.wigeonferry.decisions.Role;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.node_runtime.NodeIdentity;
import org.wigeonferry.node_runtime.NodeKeys;
import org.wigeonferry.platform_clients.TableService;
import org.wigeonferry.settings.Settings;
import org.wigeonferry.settings.SettingsException;
import org.wigeonferry.settings.SettingsReader;
import org.wigeonferry.stand_ins.VirtualControl;
import org.wigeonferry.stand_ins.VirtualTime;

/** An entry's configuration part in virtual time; news spreads by direct exchange. */
final class CommitterNode {
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final VirtualControl control;
    private final ControlState state;
    private final Committer committer;
    private final List<CommitterNode> all;
    private final List<Long> revisions = new ArrayList<>();

    CommitterNode(String zone, VirtualTime time, TableService table, List<CommitterNode> all)
            throws SettingsException {
        this.all = all;
        control = new VirtualControl(time);
        NodeIdentity identity =
                new NodeIdentity(
                        new NodeId("entry-" + zone),
                        Role.ENTRY,
                        new ZoneId(zone),
                        new HostAddress("127.0.0.1", 1),
                        1);
        state = new ControlState(identity, settings(zone));
        state.addCatalogListener(catalog -> revisions.add(catalog.revision().number()));
        StorePoller poller = new StorePoller(control, state, table);
        committer = new Committer(control, state, table, poller, this::tell);
        poller.start(PERIOD);
        control.scheduleWithFixedDelay(PERIOD, this::tell);
    }

    Committer committer() {
        return committer;
    }

    boolean revisionsStrictlyIncrease() {
        return revisions.stream().sorted().distinct().toList().equals(revisions);
    }

    private void tell() {
        for (CommitterNode other : all) {
            if (other != this) {
                other.hear(this);
                hear(other);
            }
        }
    }

    private void hear(CommitterNode other) {
        state.applyNotes(other.state.notesSince(state.catalog().revision()));
        NodeIdentity from = other.state.identity();
        Peer peer =
                new Peer(
                        from.node(),
                        from.role(),
                        from.zone(),
                        from.address(),
                        from.startMillis(),
                        control.nanoTime());
        state.onRevisionReport(peer, other.state.catalog().revision());
    }

    private static Settings settings(String zone) throws SettingsException {
        String text =
                "[node]\nname = n\npeer-address = 127.0.0.1:1\nzone = "
                        + zone
                        + "\n[peers]\nkey = k\n[platform]\ntable = 127.0.0.1:1\n";
        return SettingsReader.parse("test", text, NodeKeys.all());
    }
}
