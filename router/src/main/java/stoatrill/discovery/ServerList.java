package stoatrill.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import stoatrill.Gateway.ListedState;
import stoatrill.config.ConfigException;
import stoatrill.config.Endpoint;
import stoatrill.core.ServerEntry;

/** A list of servers with its version; the entries are either all servers or the changes since an earlier version. */
public record ServerList(long version, boolean isFull, List<ServerEntry> entries) {

    /** Limits the reason that is reported, which quotes the received text. */
    private static final int MAX_REASON_CHARS = 160;

    /** Thrown for a response body that is not a list of servers. */
    public static final class InvalidListException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidListException(String message) {
            super(message);
        }
    }

    /**
     * Parses a list in discovery's JSON format.
     *
     * @throws InvalidListException if any part of it, such as a single entry, can't be used
     */
    public static ServerList parse(String json) throws InvalidListException {
        try {
            JsonObject list = JsonParser.parseString(json).getAsJsonObject();
            List<ServerEntry> entries = new ArrayList<>();
            for (JsonElement target : requiredField(list, "targets").getAsJsonArray()) {
                entries.add(parseEntry(target.getAsJsonObject()));
            }
            return new ServerList(
                    requiredField(list, "rev").getAsLong(),
                    !list.has("all") || list.get("all").getAsBoolean(),
                    entries);
        } catch (ConfigException
                | JsonParseException
                | IllegalStateException
                | ClassCastException
                | NumberFormatException
                | NullPointerException e) {
            String reason = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            throw new InvalidListException(
                    "not a list of servers: " + reason.substring(0, Math.min(MAX_REASON_CHARS, reason.length())));
        }
    }

    private static ServerEntry parseEntry(JsonObject object) throws ConfigException {
        ListedState state =
                switch (requiredField(object, "state").getAsString()) {
                    case "Terminating" -> ListedState.DRAINING;
                    case "Gone" -> ListedState.GONE;
                    default -> ListedState.READY;
                };
        return new ServerEntry(
                requiredField(object, "uid").getAsString(),
                Endpoint.parse(requiredField(object, "endpoint").getAsString()),
                optionalText(object, "az"),
                optionalText(object, "model"),
                object.has("pod_group") ? object.get("pod_group").getAsInt() : 0,
                object.has("capacity_hint") ? object.get("capacity_hint").getAsDouble() : 1,
                object.has("boot_ms") ? object.get("boot_ms").getAsLong() : 0,
                "writer".equals(optionalText(object, "access")),
                state);
    }

    private static JsonElement requiredField(JsonObject object, String name) {
        JsonElement field = object.get(name);
        if (field == null) {
            throw new JsonParseException("no field \"" + name + "\"");
        }
        return field;
    }

    private static String optionalText(JsonObject object, String name) {
        return object.has(name) && object.get(name).isJsonPrimitive()
                ? object.get(name).getAsString()
                : "";
    }
}
