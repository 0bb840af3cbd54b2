package org.wigeonferry.command_line.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.stand_ins.StoreCopy;
import org.wigeonferry.stand_ins.StoreStandIn;

/**
 * What the operator and the upstreams write to the store.
 *
 * <p>Thread safe.
 */
final class SoakStore {
    private static final String[] SERVICES = {"desk", "desk", "model"};

    private final StoreStandIn store;
    private final SoakHistory history;
    private final Map<RowName, String> texts = new LinkedHashMap<>();
    private int version = 1;

    SoakStore(StoreStandIn store, SoakHistory history) {
        this.store = store;
        this.history = history;
    }

    /** Writes a configuration in which these keys work. */
    synchronized void configure(String... keys) {
        ObjectNode config = JsonHttpClient.newObject().put("version", version);
        version += 3;
        ArrayNode routes = config.putArray("routes");
        for (SoakKind kind : SoakKind.values()) {
            ObjectNode route =
                    routes.addObject().put("name", kind.name()).put("host", "soak.example");
            route.put("prefix", kind.path().substring(0, kind.path().length() - 1));
            route.put("service", SERVICES[kind.ordinal()]);
            route.put("route_type", type(kind)).put("resumable", kind == SoakKind.CHAT);
            route.put("timeout_ms", 5000).put("target_latency_ms", 400).put("max_attempts", 3);
        }
        ArrayNode services = config.putArray("services");
        services.addObject().put("name", "desk");
        services.addObject().put("name", "model");
        ArrayNode accounts = config.putArray("tenants");
        for (String key : keys) {
            accounts.addObject().put("name", "of-" + key).putArray("api_keys").add(key);
        }
        put(new RowName("op", "config"), config.toString());
    }

    /** Takes a key away. */
    synchronized void revoke(String key, String... others) {
        configure(others);
        history.revoked(key);
    }

    synchronized void upstream(String id, HostAddress address, String service, boolean leaving) {
        ObjectNode entry = JsonHttpClient.newObject().put("service", service);
        entry.put("address", address.toString()).put("zone", "z").put("version", "v1");
        entry.put("slots", 8).put("state", leaving ? "draining" : "ready").put("born", 1);
        put(new RowName("servers", id), entry.toString());
        if (leaving) {
            history.leaving(id);
        }
    }

    synchronized void upstreamGone(String id) {
        texts.remove(new RowName("servers", id));
        store.remove("servers", id);
        history.leaving(id);
    }

    /** Lets the store go back to a copy; the operator and the upstreams write their rows again. */
    synchronized void restore(StoreCopy copy) {
        store.restore(copy);
        copy.rows().values().stream()
                .filter(row -> row.path("table").asText().equals("servers"))
                .map(row -> row.path("key").asText())
                .filter(id -> !texts.containsKey(new RowName("servers", id)))
                .forEach(id -> store.remove("servers", id));
        writeAgain();
    }

    /** Writes all rows of the operator and the upstreams as they are. */
    synchronized void writeAgain() {
        texts.forEach((row, text) -> store.put(row.table(), row.key(), text));
    }

    private void put(RowName row, String text) {
        texts.put(row, text);
        store.put(row.table(), row.key(), text);
    }

    /** Rows that another writer may have left. */
    synchronized void garbage(int number) {
        store.putBase64("servers", "bad-" + number, "*no base64*");
        store.put("servers", "odd-" + number, "{\"service\":7,\"state\":\"ready\"}");
        store.put("routers", "odd-" + number, "[]");
    }

    private static String type(SoakKind kind) {
        return switch (kind) {
            case BOOK -> "unsafe";
            case LOOK -> "safe";
            case CHAT -> "streaming";
        };
    }
}
