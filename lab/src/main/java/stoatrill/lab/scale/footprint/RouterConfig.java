package stoatrill.lab.scale.footprint;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.IntStream;
import stoatrill.standins.net.Deployment;

/** The configuration of a router under measurement, and the entries of its servers in discovery's form. */
final class RouterConfig {
    private static final int ZONES = 14;

    /** The router's own reserve of descriptors, and the parts of the rest by which it decides on idle clients. */
    private static final int RESERVED_SOCKETS = 40;

    private static final double IDLE_CLIENT_PART = 0.7 * 0.25;
    private static final int SPARE_CLIENTS = 16;
    private static final int LEAST_SOCKETS = 1024;

    private RouterConfig() {}

    /**
     * The smallest {@code limits.sockets} by which a router lets so many clients rest longer than 2 s: those that it
     * leaves alone are 0.25 of the room for clients, which is 0.7 of the sockets beyond 40.
     */
    static int socketsFor(int restingClients) {
        int needed = RESERVED_SOCKETS + (int) Math.ceil((restingClients + SPARE_CLIENTS) / IDLE_CLIENT_PART);
        return Math.max(LEAST_SOCKETS, needed);
    }

    /** One server's entry. */
    static JsonObject entry(int server, Population population, InetSocketAddress address) {
        int member = server / population.groups();
        JsonObject entry = new JsonObject();
        entry.addProperty("uid", "node" + server);
        entry.addProperty("endpoint", endpoint(address));
        entry.addProperty("az", zone((population.groupOf(server) + member) % ZONES));
        entry.addProperty("model", "std");
        entry.addProperty("pod_group", population.groupOf(server));
        entry.addProperty("state", "Ready");
        entry.addProperty("capacity_hint", 1.0);
        entry.addProperty("boot_ms", 0);
        entry.addProperty("access", population.primary(server) ? "writer" : "reader");
        return entry;
    }

    /**
     * The configuration as the platform writes it.
     *
     * @param discovery where the router asks for its list
     * @param sockets the limit on descriptors
     * @param known the list it is given at start, in discovery's form; null for none
     */
    static String json(InetSocketAddress discovery, int sockets, String known) throws IOException {
        JsonObject config;
        try (Deployment template = new Deployment(1, 0)) {
            config = JsonParser.parseString(template.config("measured", "mona", "127.0.0.1:0"))
                    .getAsJsonObject();
        }
        config.addProperty("discovery", endpoint(discovery));
        config.getAsJsonObject("limits").addProperty("sockets", sockets);
        JsonArray zones = new JsonArray();
        zones().forEach(zones::add);
        config.getAsJsonObject("settings").add("zones", zones);
        config.remove("known");
        if (known != null) {
            config.add("known", JsonParser.parseString(known));
        }
        return config.toString();
    }

    private static List<String> zones() {
        return IntStream.range(0, ZONES).mapToObj(RouterConfig::zone).toList();
    }

    private static String zone(int number) {
        return "zone" + number;
    }

    private static String endpoint(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
