package org.wigeonferry.command_line.ingress;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonferry.command_line.DemoFiles;
import org.wigeonferry.command_line.DemoPlan;
import org.wigeonferry.command_line.DemoProcess;
import org.wigeonferry.core_types.HostAddress;

/**
 * Guards against entries and agents that run out of memory or file descriptors through abusive
 * callers at their ports, those between processes of the system included.
 */
class NodePortsTest {
    private static final int HEADS = 360;

    /** More than the process has file descriptors. */
    private static final int CALLERS = 700;

    private static final int BODIES = 60;
    private static final int BODY_BYTES = 4 << 20;
    private static final int FIELDS = 4000;
    private static final String PEER_HEAD =
            "POST /peer/exchange HTTP/1.1\r\nHost: x\r\nX-Wigeonferry-Peer-Key: demo-peer-secret\r\n";
    private static final String METRICS = "GET /metrics HTTP/1.1\r\nHost: x\r\n";

    private DemoPlan plan;
    private Path directory;
    private DemoProcess table;

    @BeforeEach
    void startTable() throws Exception {
        plan = DemoPlan.of(List.of("zone"), 1, 0);
        directory = Files.createTempDirectory("ingress-");
        String settings = files().table().toString();
        table =
                new DemoProcess(
                        "table",
                        List.of("stand-in", "table", "--config", settings),
                        directory.resolve("table.log"));
        table.awaitReady();
    }

    @AfterEach
    void stopTable() {
        table.kill();
        table.awaitEnd();
    }

    private DemoFiles files() {
        return new DemoFiles(directory, plan);
    }

    private ProcessUnderTest startEntry(String name) throws Exception {
        Path settings = files().entry(plan.entries().get(0));
        return new ProcessUnderTest(directory.resolve(name + ".log"), "entry", settings);
    }

    private ProcessUnderTest startAgent(String name) throws Exception {
        Path settings = files().agent(plan.upstreams().get(0));
        return new ProcessUnderTest(directory.resolve(name + ".log"), "agent", settings);
    }

    private List<HostAddress> entryPorts() {
        return List.of(
                plan.entries().get(0).callers(),
                plan.entries().get(0).admins(),
                plan.entries().get(0).peers());
    }

    private List<HostAddress> agentPorts() {
        return List.of(plan.upstreams().get(0).agentAddress());
    }

    /** An address without the path answers 404, which shows that it is served. */
    private static void awaitServed(List<HostAddress> ports, ProcessUnderTest process) {
        for (HostAddress port : ports) {
            OrdinaryCaller.awaitStatus(port, "GET /none HTTP/1.1\r\nHost: x\r\n\r\n", 404, process);
        }
    }

    /** Lets callers share the ports, and checks the process while they hold on. */
    private static void play(
            ProcessUnderTest process, List<HostAddress> ports, int callers, CallerScript script)
            throws Exception {
        try (CallerGroup group = new CallerGroup()) {
            awaitServed(ports, process);
            for (HostAddress port : ports) {
                group.send(callers / ports.size(), port, script);
            }
            awaitServed(ports, process);
            process.assertSound();
        }
    }

    private static void writeManyFields(OutputStream out) throws IOException {
        Pieces.writeText(out, METRICS + Pieces.shortFields(FIELDS));
    }

    private static void writeIncompleteBody(OutputStream out) throws IOException {
        Pieces.writeText(out, PEER_HEAD + "Content-Length: " + BODY_BYTES + "\r\n\r\n");
        Pieces.writeBody(out, BODY_BYTES - 1, BODY_BYTES);
    }

    @Test
    void manyShortFieldsAtAnEntry() throws Exception {
        try (ProcessUnderTest entry = startEntry("entry-fields")) {
            play(entry, entryPorts(), HEADS, NodePortsTest::writeManyFields);
        }
    }

    @Test
    void callersThatStopWithinTheHeadAtAnEntry() throws Exception {
        try (ProcessUnderTest entry = startEntry("entry-heads")) {
            play(entry, entryPorts(), CALLERS, out -> Pieces.writeText(out, METRICS));
        }
    }

    @Test
    void incompleteBodiesAtAnEntry() throws Exception {
        try (ProcessUnderTest entry = startEntry("entry-bodies")) {
            HostAddress peers = plan.entries().get(0).peers();
            play(entry, List.of(peers), BODIES, NodePortsTest::writeIncompleteBody);
        }
    }

    @Test
    void manyShortFieldsAtAnAgent() throws Exception {
        try (ProcessUnderTest agent = startAgent("agent-fields")) {
            play(agent, agentPorts(), HEADS, NodePortsTest::writeManyFields);
        }
    }

    @Test
    void callersThatStopWithinTheHeadAtAnAgent() throws Exception {
        try (ProcessUnderTest agent = startAgent("agent-heads")) {
            play(agent, agentPorts(), CALLERS, out -> Pieces.writeText(out, METRICS));
        }
    }

    @Test
    void incompleteBodiesAtAnAgent() throws Exception {
        try (ProcessUnderTest agent = startAgent("agent-bodies")) {
            play(agent, agentPorts(), BODIES, NodePortsTest::writeIncompleteBody);
        }
    }
}
