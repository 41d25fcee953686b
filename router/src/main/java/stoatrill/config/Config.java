package stoatrill.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stoatrill.Gateway;
import stoatrill.contract.Contracts;
import stoatrill.core.Reducer;
import stoatrill.io.CallResult;
import stoatrill.io.FileReader;
import stoatrill.io.SystemCalls;
import stoatrill.settings.SettingsException;
import stoatrill.wire.MalformedInputException;
import stoatrill.wire.SettingsParser;

/**
 * A router's configuration: the JSON file named by {@code PROXY_CONFIG}, overridden by environment variables.
 *
 * @param name the router's name
 * @param listenAddress the address to accept clients on
 * @param discoveryAddress the address of the discovery service
 * @param discoveryInFile the discovery address given in the file, null if the file gives none
 * @param seed the seed of the router's random numbers
 * @param socketLimit how many sockets the router may open
 * @param knownServerList the last known server list, in the format of the discovery service; null if there is none
 * @param settings the settings of routing
 * @param zones the names of the zones
 * @param hostTypes the names of the host types
 * @param idleTimeoutNanos how long a connection may stay idle
 * @param connectTimeoutNanos how long a connection attempt may take
 * @param heldRequestLimit how many requests the router may hold at a time
 * @param contracts the contracts in the file named by {@code PROXY_CONTRACTS}, null if the variable is not set
 */
public record Config(
        String name,
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        InetSocketAddress discoveryInFile,
        long seed,
        int socketLimit,
        String knownServerList,
        Gateway.Settings settings,
        List<String> zones,
        List<String> hostTypes,
        long idleTimeoutNanos,
        long connectTimeoutNanos,
        int heldRequestLimit,
        Contracts contracts) {

    private static final int DEFAULT_SOCKET_COUNT = 1024;

    /**
     * Returns the setup of a reducer under this configuration.
     *
     * @param maxServerConnections how many connections to servers the reducer may open at first, at least 1
     * @param seed the seed of the module's random numbers; {@link #seed} but in tests of other seeds
     */
    public Reducer.Setup reducerSetup(int maxServerConnections, long seed) {
        return new Reducer.Setup(
                settings,
                zones,
                hostTypes,
                connectTimeoutNanos,
                idleTimeoutNanos,
                heldRequestLimit,
                maxServerConnections,
                seed);
    }

    /**
     * Reads the environment and the files that it names.
     *
     * @throws ConfigException if a file can't be read, or its contents are not valid
     */
    public static Config read(Map<String, String> environment) throws ConfigException {
        String file = environment.get("PROXY_CONFIG");
        if (file == null) {
            throw new ConfigException("PROXY_CONFIG is not set");
        }
        Config config = parse(readFile("PROXY_CONFIG", file), environment);
        String contractsFile = environment.get("PROXY_CONTRACTS");
        return contractsFile == null ? config : config.withContracts(readContracts(contractsFile));
    }

    private static Contracts readContracts(String file) throws ConfigException {
        try {
            return Contracts.parse(file, readFile("PROXY_CONTRACTS", file));
        } catch (SettingsException e) {
            throw new ConfigException(e.getMessage());
        }
    }

    private static String readFile(String variable, String file) throws ConfigException {
        CallResult<String> result = new FileReader(SystemCalls.PLATFORM).readText(file);
        return switch (result.outcome()) {
            case PROGRESS -> result.value();
            case TEMPORARY_FAILURE -> throw new ConfigException(readError(variable, file, result.reason()), true);
            case PERMANENT_FAILURE, WOULD_BLOCK, END_OF_STREAM, BROKEN ->
                throw new ConfigException(readError(variable, file, result.reason()));
        };
    }

    private static String readError(String variable, String file, String reason) {
        return "can't read " + variable + " " + file + ": " + reason;
    }

    private Config withContracts(Contracts newContracts) {
        return new Config(
                name,
                listenAddress,
                discoveryAddress,
                discoveryInFile,
                seed,
                socketLimit,
                knownServerList,
                settings,
                zones,
                hostTypes,
                idleTimeoutNanos,
                connectTimeoutNanos,
                heldRequestLimit,
                newContracts);
    }

    /**
     * Parses the text of the configuration file. Values in the environment override those in the text.
     *
     * @throws ConfigException if the text is not valid
     */
    public static Config parse(String text, Map<String, String> environment) throws ConfigException {
        try {
            JsonObject root = JsonParser.parseString(text).getAsJsonObject();
            Map<String, String> paths = new HashMap<>();
            flatten("", root.getAsJsonObject("settings"), paths);
            SettingsParser.Setup setup = SettingsParser.parse(paths);
            JsonObject limits = root.has("limits") ? root.getAsJsonObject("limits") : new JsonObject();
            return new Config(
                    text(root, "name", environment.get("PROXY_NAME"), "router"),
                    Endpoint.parse(text(root, "listen", environment.get("PROXY_LISTEN"), "")),
                    Endpoint.parse(text(root, "discovery", environment.get("PROXY_DISCOVERY"), "")),
                    root.has("discovery") ? Endpoint.parse(text(root, "discovery", null, "")) : null,
                    parseSeed(text(root, "seed", null, "0")),
                    parseSocketCount(limits.get("sockets")),
                    root.has("known") ? root.get("known").toString() : null,
                    setup.settings(),
                    splitNames(paths, "zones"),
                    splitNames(paths, "hostTypes"),
                    wholeNumber(paths, "allowed.connIdle", 30_000_000_000L),
                    wholeNumber(paths, "allowed.connectTimeout", 250_000_000L),
                    (int) Math.min(Integer.MAX_VALUE, wholeNumber(paths, "allowed.mostHeld", 20_000)),
                    null);
        } catch (MalformedInputException e) {
            throw new ConfigException(e.getMessage());
        } catch (JsonParseException
                | IllegalStateException
                | ClassCastException
                | NumberFormatException
                | NullPointerException e) {
            throw new ConfigException("the configuration does not have the expected structure: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    /**
     * Converts nested JSON into pairs of a dotted path and a value. The simulator sends its settings in that form, so
     * one parser reads both.
     */
    private static void flatten(String path, JsonElement value, Map<String, String> target) {
        if (value instanceof JsonObject object) {
            object.entrySet()
                    .forEach(e -> flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), target));
        } else if (value instanceof JsonArray array) {
            if (array.size() > 0 && array.get(0).isJsonObject()) {
                target.put(path + ".count", Integer.toString(array.size()));
                for (int i = 0; i < array.size(); i++) {
                    flatten(path + "." + i, array.get(i), target);
                }
            } else {
                StringBuilder joined = new StringBuilder();
                array.forEach(e -> joined.append(joined.length() > 0 ? "," : "").append(e.getAsString()));
                target.put(path, joined.toString());
            }
        } else if (value != null && value.isJsonPrimitive()) {
            target.put(path, value.getAsString());
        }
    }

    private static String text(JsonObject object, String name, String override, String fallback) {
        return override != null ? override : object.has(name) ? object.get(name).getAsString() : fallback;
    }

    private static List<String> splitNames(Map<String, String> paths, String path) {
        String joined = paths.getOrDefault(path, "");
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    private static long wholeNumber(Map<String, String> paths, String path, long fallback) throws ConfigException {
        String text = paths.getOrDefault(path, Long.toString(fallback));
        if (!text.matches("\\d{1,18}")) {
            throw new ConfigException("settings: " + path + " is " + text + "; a whole number from 0 on is expected");
        }
        return Long.parseLong(text);
    }

    private static int parseSocketCount(JsonElement value) throws ConfigException {
        if (value == null) {
            return DEFAULT_SOCKET_COUNT;
        }
        try {
            int sockets = value.getAsInt();
            if (sockets > 0) {
                return sockets;
            }
        } catch (NumberFormatException | IllegalStateException | UnsupportedOperationException e) {
            // reported below
        }
        throw new ConfigException("limits.sockets is " + value + "; a whole number from 1 on is expected");
    }

    /** Parses a seed, which is hexadecimal by convention. Uses the hash of any other text. */
    private static long parseSeed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return text.hashCode();
        }
    }
}
