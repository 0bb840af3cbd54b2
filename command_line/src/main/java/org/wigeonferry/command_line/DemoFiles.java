package org.wigeonferry.command_line;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.Secrets;

/**
 * Writes the settings files of a demo deployment.
 *
 * <p>Immutable and thread safe.
 *
 * @param directory where the files go
 * @param plan the deployment
 */
public record DemoFiles(Path directory, DemoPlan plan) {
    /** Key of the demo's operator. */
    public static final String ADMIN_KEY = "operator.demo-secret";

    private static final String SALT = "00ff";
    private static final String PEER_KEY = "demo-peer-secret";

    /** Settings of the table service. */
    public Path table() throws StepException {
        return write("table", "[stand-in]\naddress = " + plan.table() + "\n");
    }

    /** Settings of an upstream's stand-in. */
    public Path upstream(DemoUpstream upstream) throws StepException {
        String text = "[stand-in]\naddress = " + upstream.address() + "\n";
        String engine = "[engine]\nskills = " + DemoNotes.SKILLS + "\n" + plan.engineSettings();
        return write(upstream.name(), upstream.engine() ? text + engine : text);
    }

    /** Settings of an agent. */
    public Path agent(DemoUpstream upstream) throws StepException {
        String agent =
                "[agent]\nupstream = "
                        + upstream.name()
                        + "\nupstream-address = "
                        + upstream.address()
                        + "\nslow-first-token-ms = 1000\n";
        String name = "agent-" + upstream.name();
        return write(
                name,
                node(name, upstream.zone(), upstream.agentAddress().toString())
                        + "[platform]\ntable = "
                        + plan.table()
                        + "\n"
                        + agent);
    }

    /** Settings of an entry. */
    public Path entry(DemoEntry entry) throws StepException {
        String text =
                node(entry.name(), entry.zone(), entry.peers().toString())
                        + "[platform]\ntable = "
                        + plan.table()
                        + "\nrater = "
                        + plan.table()
                        + "\npoll-period-ms = 500\n[entry]\ncaller-address = "
                        + entry.callers()
                        + "\nadmin-address = "
                        + entry.admins()
                        + "\nadmin-key-digests = "
                        + digest(ADMIN_KEY)
                        + "\nsession-key = demo-session-secret\n"
                        + "[billing]\nwrite-period-ms = 200\n"
                        + "[rollout]\nsteps = 20,50,100\nsamples = 30\nperiod-ms = 300\n";
        return write(entry.name(), text);
    }

    /** Salted digest of a key, as settings and notes hold it. */
    public static String digest(String key) {
        return SALT + ":" + Secrets.saltedDigest(SALT, key);
    }

    private String node(String name, String zone, String address) {
        String seeds =
                plan.entries().stream()
                        .map(entry -> entry.peers().toString())
                        .collect(Collectors.joining(","));
        return "[node]\nname = "
                + name
                + "\nzone = "
                + zone
                + "\npeer-address = "
                + address
                + "\nstop-deadline-ms = 10000\nstop-grace-ms = 500\n[peers]\nentries = "
                + seeds
                + "\nkey = "
                + PEER_KEY
                + "\nexchange-period-ms = 300\nfreshness-bound-ms = 3000\n";
    }

    private Path write(String name, String text) throws StepException {
        Path file = directory.resolve(name + ".ini");
        try {
            Files.writeString(file, text);
            return file;
        } catch (IOException e) {
            throw new StepException("write settings", file.toString(), e);
        }
    }
}
