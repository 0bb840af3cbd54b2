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

/**
 * The parts of an entry that commit and read the configuration, in virtual time. Nodes exchange
 * their configuration by direct calls.
 */
final class CommitterNode {
    private static final Duration POLL_AND_EXCHANGE_PERIOD = Duration.ofSeconds(1);

    private final VirtualControl control;
    private final ControlState state;
    private final Committer committer;
    private final List<CommitterNode> nodes;
    private final List<Long> revisions = new ArrayList<>();

    CommitterNode(String zone, VirtualTime time, TableService table, List<CommitterNode> nodes)
            throws SettingsException {
        this.nodes = nodes;
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
        committer = new Committer(control, state, table, poller, this::exchangeWithAll);
        poller.start(POLL_AND_EXCHANGE_PERIOD);
        control.scheduleWithFixedDelay(POLL_AND_EXCHANGE_PERIOD, this::exchangeWithAll);
    }

    Committer committer() {
        return committer;
    }

    /** Tells whether each revision that took effect here was newer than the one before. */
    boolean revisionsStrictlyIncrease() {
        return revisions.stream().sorted().distinct().toList().equals(revisions);
    }

    private void exchangeWithAll() {
        for (CommitterNode other : nodes) {
            if (other != this) {
                other.receiveFrom(this);
                receiveFrom(other);
            }
        }
    }

    private void receiveFrom(CommitterNode sender) {
        state.applyNotes(sender.state.notesSince(state.catalog().revision()));
        NodeIdentity identity = sender.state.identity();
        Peer peer =
                new Peer(
                        identity.node(),
                        identity.role(),
                        identity.zone(),
                        identity.address(),
                        identity.startMillis(),
                        control.nanoTime());
        state.onRevisionReport(peer, sender.state.catalog().revision());
    }

    private static Settings settings(String zone) throws SettingsException {
        String text =
                "[node]\nname = n\npeer-address = 127.0.0.1:1\nzone = "
                        + zone
                        + "\n[peers]\nkey = k\n[platform]\ntable = 127.0.0.1:1\n";
        return SettingsReader.parse("test", text, NodeKeys.all());
    }
}
