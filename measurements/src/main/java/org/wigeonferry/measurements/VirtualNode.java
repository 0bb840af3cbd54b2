package org.wigeonferry.measurements;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.decisions.Role;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.node_runtime.Exchanger;
import org.wigeonferry.node_runtime.NodeIdentity;
import org.wigeonferry.node_runtime.NodeKeys;
import org.wigeonferry.node_runtime.PushTargetSelector;
import org.wigeonferry.settings.Settings;
import org.wigeonferry.settings.SettingsException;
import org.wigeonferry.settings.SettingsReader;
import org.wigeonferry.stand_ins.VirtualControl;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * The control part of an entry or agent in virtual time, with the real exchange and codec.
 *
 * <p>Not thread safe.
 */
final class VirtualNode {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int REGIONS = 3;

    private final int number;
    private final VirtualControl control;
    private final ControlState state;
    private final Exchanger exchanger;

    VirtualNode(
            int number,
            Role role,
            VirtualTime time,
            VirtualNetwork network,
            List<HostAddress> seeds,
            PushTargetSelector targets)
            throws SettingsException {
        this.number = number;
        control = new VirtualControl(time);
        String name = "node-" + number;
        NodeIdentity identity =
                new NodeIdentity(
                        new NodeId(name), role, Workload.zone(number), address(number), 1 + number);
        state = new ControlState(identity, settings(name));
        exchanger =
                new Exchanger(
                        control,
                        state,
                        (peer, path, body, timeout) -> network.call(this, peer, body, timeout),
                        seeds,
                        targets,
                        TIMEOUT);
        network.add(this);
    }

    static HostAddress address(int number) {
        return new HostAddress("10.0.0." + number / 250, 1 + number % 250);
    }

    HostAddress address() {
        return state.identity().address();
    }

    int region() {
        return number % Workload.ZONES % REGIONS;
    }

    void start(Duration period) {
        exchanger.start(period);
    }

    /** Takes a note over, as the entry that committed it does. */
    void commit(CommittedNote note) {
        state.applyNotes(List.of(note));
        exchanger.pushToPeers();
    }

    long revision() {
        return state.catalog().revision().number();
    }

    boolean fresh() {
        return state.checkFreshness(control.nanoTime());
    }

    CompletableFuture<byte[]> answer(byte[] body) {
        return exchanger.handleMessage(body);
    }

    private static Settings settings(String name) throws SettingsException {
        String text =
                "[node]\nname = "
                        + name
                        + "\nzone = z\npeer-address = 127.0.0.1:1\n[peers]\nkey = k\nmax = 400\n"
                        + "[platform]\ntable = 127.0.0.1:1\n";
        return SettingsReader.parse("measurement", text, NodeKeys.all());
    }
}
