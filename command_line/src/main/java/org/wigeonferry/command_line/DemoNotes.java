package org.wigeonferry.command_line;

import java.util.List;

/**
 * Release notes of the demo.
 *
 * <p>Stateless and thread safe.
 */
public final class DemoNotes {
    /** Accounts of the demo; the key of each is its name with {@link #KEY_SUFFIX}. */
    public static final List<String> ACCOUNTS = List.of("palace", "market", "church");

    /** What a demo key adds to the name of its account. */
    public static final String KEY_SUFFIX = ".demo-key";

    /** Version that no account allows. */
    public static final String FORBIDDEN = "forbidden-1";

    /** Versions that engines run, with their skill. */
    public static final String SKILLS =
            "small-1:0.6,small-2:0.65,small-bad:0.1,large-1:0.9,forbidden-1:0.95";

    private DemoNotes() {}

    /** Versions, classes, accounts and upstreams. */
    public static String first(DemoPlan plan) {
        StringBuilder note = new StringBuilder(head("demo-1", "first configuration"));
        note.append(version("small-1", "small", 1, 0.6, 100));
        note.append(version("large-1", "large", 10, 0.9, 100));
        note.append(version(FORBIDDEN, "forbidden", 1, 0.95, 100));
        note.append("[class draft]\nquality-target = 0.65\ndeadline-ms = 15000\n");
        note.append("[class booking]\nquality-target = 0\ndeadline-ms = 15000\n");
        for (String account : ACCOUNTS) {
            note.append("[account ").append(account).append("]\nkey-digests = ");
            note.append(DemoFiles.digest(account + KEY_SUFFIX));
            note.append("\nversions = small-1, large-1\nservices = booking\nmax-in-flight = 200\n");
        }
        for (DemoUpstream upstream : plan.upstreams()) {
            note.append("[upstream ").append(upstream.name()).append("]\nzone = ");
            note.append(upstream.zone()).append("\nagent = ").append(upstream.agentAddress());
            note.append(
                    upstream.engine()
                            ? "\nversions = small-1, large-1, forbidden-1\nmax-concurrent = 8\n"
                            : "\nservices = booking\nmax-concurrent = 16\n");
        }
        return note.toString();
    }

    /** Adds a version and exposes a share of the requests to it. */
    public static String rollOut(DemoPlan plan, String name, int percent) {
        StringBuilder note =
                new StringBuilder(head("demo-rollout-" + name + "-" + percent, "roll out"));
        note.append(version(name, "small", 1, 0.65, percent));
        String versions = "]\nversions = small-1, " + name + ", large-1";
        for (String account : ACCOUNTS) {
            note.append("[account ").append(account);
            note.append(versions).append('\n');
        }
        plan.upstreams().stream()
                .filter(DemoUpstream::engine)
                .forEach(
                        upstream ->
                                note.append("[upstream ")
                                        .append(upstream.name())
                                        .append(versions)
                                        .append(", forbidden-1\n"));
        return note.toString();
    }

    /** Withdraws the old version. */
    public static String withdraw() {
        return head("demo-withdraw", "withdraw") + "[withdraw small-1]\nsuccessor = small-2\n";
    }

    /** Takes a zone out or back in. */
    public static String zone(String zone, String state) {
        return head("demo-zone-" + state, "zone " + state)
                + "[zone "
                + zone
                + "]\nstate = "
                + state
                + "\n";
    }

    private static String head(String operation, String reason) {
        return "[note]\noperation = " + operation + "\nauthor = demo\nreason = " + reason + "\n";
    }

    private static String version(String id, String model, int cost, double quality, int exposure) {
        return "[version "
                + id
                + "]\nmodel = "
                + model
                + "\ncost-micros-per-token = "
                + cost
                + "\nexpected-quality = "
                + quality
                + "\nexposure-percent = "
                + exposure
                + "\n";
    }
}
