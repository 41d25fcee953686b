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
import stoatrill.io.FileReader;
import stoatrill.io.Opened;
import stoatrill.io.SystemCalls;
import stoatrill.settings.SettingsException;
import stoatrill.wire.MalformedInputException;
import stoatrill.wire.SettingsParser;

/**
 * What a router is told: the file named by {@code PROXY_CONFIG}, and the variables, which go before it.
 * {@code known} is the list last held, in discovery's form; {@code filed} is discovery's address as the file
 * has it, null if it names none; {@code contracts} are those of the file named by {@code PROXY_CONTRACTS}, null
 * without one.
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress filed,
        long seed,
        int sockets,
        String known,
        Gateway.Settings settings,
        List<String> zones,
        List<String> models,
        long connIdle,
        long connectTimeout,
        int mostHeld,
        Contracts contracts) {

    private static final int USUAL_SOCKETS = 1024;

    /** Reads the environment and the file that it names. */
    public static Config read(Map<String, String> environment) throws ConfigException {
        String file = environment.get("PROXY_CONFIG");
        if (file == null) {
            throw new ConfigException("PROXY_CONFIG is not set");
        }
        Config config = parse(text("PROXY_CONFIG", file), environment);
        String terms = environment.get("PROXY_CONTRACTS");
        return terms == null ? config : config.with(contracts(terms));
    }

    private static Contracts contracts(String file) throws ConfigException {
        try {
            return Contracts.parse(file, text("PROXY_CONTRACTS", file));
        } catch (SettingsException e) {
            throw new ConfigException(e.getMessage());
        }
    }

    private static String text(String variable, String file) throws ConfigException {
        Opened<String> read = new FileReader(SystemCalls.PLATFORM).text(file);
        return switch (read.outcome()) {
            case PROGRESS -> read.value();
            case NO_RESOURCE -> throw new ConfigException(unreadable(variable, file, read.why()), true);
            case FATAL, NOTHING_NOW, END_OF_STREAM, BROKEN ->
                throw new ConfigException(unreadable(variable, file, read.why()));
        };
    }

    private static String unreadable(String variable, String file, String why) {
        return "can't read " + variable + " " + file + ": " + why;
    }

    private Config with(Contracts terms) {
        return new Config(
                name,
                listen,
                discovery,
                filed,
                seed,
                sockets,
                known,
                settings,
                zones,
                models,
                connIdle,
                connectTimeout,
                mostHeld,
                terms);
    }

    /** Reads the text of the file; what the environment says goes before it. */
    public static Config parse(String text, Map<String, String> environment) throws ConfigException {
        try {
            JsonObject all = JsonParser.parseString(text).getAsJsonObject();
            Map<String, String> paths = new HashMap<>();
            flatten("", all.getAsJsonObject("settings"), paths);
            SettingsParser.Setup setup = SettingsParser.parse(paths);
            JsonObject limits = all.has("limits") ? all.getAsJsonObject("limits") : new JsonObject();
            return new Config(
                    text(all, "name", environment.get("PROXY_NAME"), "router"),
                    Endpoint.parse(text(all, "listen", environment.get("PROXY_LISTEN"), "")),
                    Endpoint.parse(text(all, "discovery", environment.get("PROXY_DISCOVERY"), "")),
                    all.has("discovery") ? Endpoint.parse(text(all, "discovery", null, "")) : null,
                    seed(text(all, "seed", null, "0")),
                    sockets(limits.get("sockets")),
                    all.has("known") ? all.get("known").toString() : null,
                    setup.settings(),
                    names(paths, "zones"),
                    names(paths, "hostTypes"),
                    whole(paths, "allowed.connIdle", 30_000_000_000L),
                    whole(paths, "allowed.connectTimeout", 250_000_000L),
                    (int) Math.min(Integer.MAX_VALUE, whole(paths, "allowed.mostHeld", 20_000)),
                    null);
        } catch (MalformedInputException e) {
            throw new ConfigException(e.getMessage());
        } catch (JsonParseException
                | IllegalStateException
                | ClassCastException
                | NumberFormatException
                | NullPointerException e) {
            throw new ConfigException("the configuration is not of the form expected: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
    }

    /** Turns nested JSON into the simulator's pairs of path and value, which have one parser for both. */
    private static void flatten(String path, JsonElement value, Map<String, String> into) {
        if (value instanceof JsonObject object) {
            object.entrySet()
                    .forEach(e -> flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), into));
        } else if (value instanceof JsonArray array) {
            if (array.size() > 0 && array.get(0).isJsonObject()) {
                into.put(path + ".count", Integer.toString(array.size()));
                for (int i = 0; i < array.size(); i++) {
                    flatten(path + "." + i, array.get(i), into);
                }
            } else {
                StringBuilder joined = new StringBuilder();
                array.forEach(e -> joined.append(joined.length() > 0 ? "," : "").append(e.getAsString()));
                into.put(path, joined.toString());
            }
        } else if (value != null && value.isJsonPrimitive()) {
            into.put(path, value.getAsString());
        }
    }

    private static String text(JsonObject from, String name, String instead, String otherwise) {
        return instead != null ? instead : from.has(name) ? from.get(name).getAsString() : otherwise;
    }

    private static List<String> names(Map<String, String> paths, String path) {
        String joined = paths.getOrDefault(path, "");
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    private static long whole(Map<String, String> paths, String path, long otherwise) throws ConfigException {
        String text = paths.getOrDefault(path, Long.toString(otherwise));
        if (!text.matches("\\d{1,18}")) {
            throw new ConfigException("settings: " + path + " is " + text + "; a whole number from 0 on is expected");
        }
        return Long.parseLong(text);
    }

    private static int sockets(JsonElement value) throws ConfigException {
        if (value == null) {
            return USUAL_SOCKETS;
        }
        try {
            int sockets = value.getAsInt();
            if (sockets > 0) {
                return sockets;
            }
        } catch (NumberFormatException | IllegalStateException | UnsupportedOperationException e) {
            // said below
        }
        throw new ConfigException("limits.sockets is " + value + "; a whole number from 1 on is expected");
    }

    /** Hexadecimal by custom; any other text is as good a source. */
    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return text.hashCode();
        }
    }
}
