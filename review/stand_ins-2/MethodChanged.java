import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A caller that nobody controls sends a method in lower case; compares it with what servers run. */
final class MethodChanged {
    private static final int REQUESTS = 20;

    private MethodChanged() {}

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[0]));
        Store store = new Store();
        Map<String, String> methodRun = new ConcurrentHashMap<>();
        for (int i = 0; i < 2; i++) {
            Upstream[] self = new Upstream[1];
            self[0] =
                    new Upstream(store, record, "i-desk" + i, "desk", "z" + i, 6, (head, body, out, c) -> {
                        String id = head.field("X-Wigeonferry-Request-Id");
                        methodRun.put(id, head.part(0));
                        record.line("request " + id + " runs with " + head.start());
                        self[0].reply(out, id, 200, new byte[800], "");
                    });
        }
        store.put(
                "op",
                "config",
                Lab.config(
                        1,
                        Lab.route("/desk/", "unsafe", 3000, "desk", 1, ""),
                        Lab.service("desk"),
                        ""));
        RouterProcess router =
                new RouterProcess(Lab.temporaryFolder(), "front-0", "z0", store.newPort(), Lab.BOUNDS);
        router.start();
        router.awaitReady();
        String method = Lab.trouble() ? "post" : "POST";
        int changed = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = Caller.newId();
            int status = 0;
            try (Caller caller = new Caller(router.callerPort, 4000)) {
                caller.write(
                        Wire.ascii(Caller.head(method, "/desk/book", id, 3000, 5, "") + "hello"));
                status = caller.read().status();
            } catch (IOException e) {
                record.line("client: " + id + ": " + e.getMessage());
            }
            record.line("client: " + method + " /desk/book " + id + " got " + status);
            String run = methodRun.get(id);
            changed += run != null && !run.equals(method) ? 1 : 0;
        }
        String what =
                REQUESTS
                        + " requests sent with method "
                        + method
                        + ", "
                        + methodRun.size()
                        + " run, "
                        + changed
                        + " of them with another method";
        Lab.end(record, changed > 0, what);
    }
}
