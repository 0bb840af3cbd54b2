package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.stand_ins.StoreStandIn;

/** The store (the project's stand-in), and what the operator and the servers write to it. */
public final class Platform implements AutoCloseable {
    private final StoreStandIn store;
    private final Record record;
    private final ObjectNode config = JsonHttpClient.newObject();

    public Platform(Record record) throws Exception {
        this.record = record;
        store = new StoreStandIn();
        config.put("version", 7);
        config.putArray("routes");
        config.putArray("services");
        ObjectNode limits = config.putObject("limits");
        limits.put("max_header_bytes", 16384).put("max_body_bytes", 4194304);
        limits.put("header_timeout_ms", 10000).put("idle_timeout_ms", 60000);
    }

    public String address() {
        return store.address().toString();
    }

    /** Adds a route with a service of the same name to the configuration. */
    public ObjectNode route(String name, String prefix, String type, int timeoutMillis) {
        ObjectNode route = ((ArrayNode) config.path("routes")).addObject();
        route.put("name", name).put("host", "desk.example").put("prefix", prefix);
        route.put("service", name).put("route_type", type).put("timeout_ms", timeoutMillis);
        route.put("target_latency_ms", 400).put("max_attempts", 3).put("priority", 1);
        return route;
    }

    public ObjectNode service(String name) {
        return ((ArrayNode) config.path("services")).addObject().put("name", name).put("max_connections", 100);
    }

    public ObjectNode config() {
        return config;
    }

    /** Writes the configuration; returns when the store has acknowledged it. */
    public void writeConfig() {
        config.put("version", config.path("version").asInt() + 3);
        store.put("op", "config", config.toString());
        record.line("store has acknowledged configuration " + config.path("version"));
    }

    public void server(AppServer server, String service, String state) {
        ObjectNode row = JsonHttpClient.newObject().put("service", service).put("address", server.address());
        row.put("zone", "zone-a").put("version", "v1").put("slots", 16).put("state", state);
        row.put("cold_left_ms", 0).put("seq", 1).put("born", 1_700_000_000_000L);
        store.put("servers", server.id(), row.toString());
        record.line("store has acknowledged that server " + server.id() + " is " + state);
    }

    public void serverGone(AppServer server) {
        store.remove("servers", server.id());
        record.line("store has removed the entry of server " + server.id());
    }

    public StoreStandIn store() {
        return store;
    }

    @Override
    public void close() throws Exception {
        store.close();
    }
}
