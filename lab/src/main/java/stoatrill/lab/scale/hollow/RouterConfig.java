package stoatrill.lab.scale.hollow;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.Locale;
import java.util.Map;
import stoatrill.config.Config;
import stoatrill.config.ConfigException;
import stoatrill.standins.fleet.FleetServer;

/** The configuration that hollow and real routers of a scale test share: lists are asked, the grace is 2 s. */
public final class RouterConfig {
    /** The class of the modelled statements: reads whose data may be 300 ms old. */
    public static final String READ_CLASS = "recent-read";

    @SuppressWarnings("InlineFormatString") // read apart from what goes into it
    private static final String TEMPLATE = """
            {"name": "%s", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:%d", "seed": "%x",
             "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
             "settings": {
              "allowed": {"cancel": true, "connIdle": 30000000000, "connectTimeout": 250000000, "maxAttempts": 8,
               "maxRetryAfter": 1000000000, "mayProbe": true, "mostHeld": 2000, "peers": false, "retryAfter": true,
               "secondCopies": true},
              "classes": [
               {"name": "recent-read", "aim": 150000000, "giveUp": 600000000, "gain": 1.0, "lateWorth": 0.0,
                "semantics": "pure"}],
              "discovery": "on_request", "hostTypes": ["std"], "zones": [], "zone": %d, "me": %d,
              "replicasOfMe": %d, "step": 2000000, "overShareWorth": 0.1, "realms": [],
              "familyInfo": {"serverChecks": "off", "holdsFor": 0, "progressTold": true, "tokenMode": "kept",
               "showsRole": "trailing", "oldestData": [300000000], "readLevel": ["lag_bound"]},
              "report": {"columns": ["x0", "x1", "q"], "how": "inline"},
              "rules": {"answerSlack": 8000000, "askWithin": 10000000000, "coldFrom": 0.4, "drainGrace": 2000000000,
               "tipAfter": 1000000000, "tipMultiple": 3.0, "warmAfter": 8000000000}}}
            """;

    private RouterConfig() {}

    /**
     * The configuration as JSON.
     *
     * @param number the router's number in the fleet, from 0 on
     * @param routers how many there are
     * @param zones how many zones there are; the router lies in zone {@code number % zones}
     * @param port discovery's port on loopback
     * @param seed of the whole fleet
     */
    public static String json(int number, int routers, int zones, int port, long seed) {
        JsonObject config = JsonParser.parseString(String.format(
                        Locale.ROOT,
                        TEMPLATE,
                        "router" + number,
                        port,
                        seed * 1_000_003 + number,
                        number % zones,
                        number,
                        routers))
                .getAsJsonObject();
        JsonArray names = config.getAsJsonObject("settings").getAsJsonArray("zones");
        for (int zone = 0; zone < zones; zone++) {
            names.add(FleetServer.zoneName(zone));
        }
        return config.toString();
    }

    static Config of(int number, int routers, int zones, int port, long seed) {
        try {
            return Config.parse(json(number, routers, zones, port, seed), Map.of());
        } catch (ConfigException e) {
            throw new IllegalStateException("the scale test's own configuration can't be used", e);
        }
    }
}
