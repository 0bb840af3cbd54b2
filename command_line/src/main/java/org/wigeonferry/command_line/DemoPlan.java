package org.wigeonferry.command_line;

import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;

/**
 * Addresses and names of all processes of a demo deployment.
 *
 * <p>Immutable and thread safe.
 *
 * @param table the table service
 * @param entries the entries
 * @param upstreams the upstreams
 * @param engineSettings further lines of the engines' settings
 */
public record DemoPlan(
        HostAddress table,
        List<DemoEntry> entries,
        List<DemoUpstream> upstreams,
        String engineSettings) {
    /** Copies the lists. */
    public DemoPlan {
        entries = List.copyOf(entries);
        upstreams = List.copyOf(upstreams);
    }

    /** Plans an entry, some engines and some desks in each zone. */
    public static DemoPlan of(List<String> zones, int enginesPerZone, int desksPerZone)
            throws StepException {
        DemoPorts ports = new DemoPorts();
        List<DemoEntry> entries = new ArrayList<>();
        List<DemoUpstream> upstreams = new ArrayList<>();
        for (String zone : zones) {
            entries.add(
                    new DemoEntry("entry-" + zone, zone, ports.next(), ports.next(), ports.next()));
            for (int i = 1; i <= enginesPerZone; i++) {
                upstreams.add(upstream(zone, "engine", i, ports));
            }
            for (int i = 1; i <= desksPerZone; i++) {
                upstreams.add(upstream(zone, "desk", i, ports));
            }
        }
        return new DemoPlan(ports.next(), entries, upstreams, "");
    }

    /** The same deployment with further settings of its engines. */
    public DemoPlan withEngineSettings(String lines) {
        return new DemoPlan(table, entries, upstreams, lines);
    }

    private static DemoUpstream upstream(String zone, String kind, int number, DemoPorts ports)
            throws StepException {
        String name = kind + "-" + zone + "-" + number;
        return new DemoUpstream(name, zone, kind, ports.next(), ports.next());
    }
}
