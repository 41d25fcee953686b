package stoatrill.wire;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import stoatrill.Gateway.Consistency;
import stoatrill.Gateway.DeduplicationScope;
import stoatrill.Gateway.Idempotency;
import stoatrill.Gateway.Limits;
import stoatrill.Gateway.ListedRole;
import stoatrill.Gateway.Replication;
import stoatrill.Gateway.RequestClass;
import stoatrill.Gateway.Rules;
import stoatrill.Gateway.Settings;
import stoatrill.Gateway.StalenessCheck;
import stoatrill.Gateway.Tenant;

/** Parses the path=value lines of the settings into records. Unknown keys are skipped. */
public final class SettingsParser {
    /** Limit of attempts per request: more would only cost memory, since each attempt takes a different server. */
    private static final long MAX_ATTEMPT_COUNT = 1024;

    private final Map<String, String> values;

    private SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    static Setup parse(String text) throws MalformedInputException {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n", -1)) {
            String trimmed = line.trim();
            if (trimmed.isEmpty()) {
                continue;
            }
            int equals = trimmed.indexOf('=');
            if (equals < 0) {
                throw new MalformedInputException("settings: line without '=': " + trimmed);
            }
            values.put(trimmed.substring(0, equals), trimmed.substring(equals + 1));
        }
        return parse(values);
    }

    /**
     * Parses settings that are given as values by their paths.
     *
     * @throws MalformedInputException if a value is missing or not accepted
     */
    public static Setup parse(Map<String, String> values) throws MalformedInputException {
        return new SettingsParser(values).parseSetup();
    }

    /**
     * The settings that an instance is given at its start, and what the adapter needs to translate for it.
     *
     * @param positionOrigin the time of log position zero, in nanoseconds
     * @param reportColumns the names of the values of a load report, in their order
     */
    public record Setup(Settings settings, long positionOrigin, List<String> reportColumns) {}

    private Setup parseSetup() throws MalformedInputException {
        List<RequestClass> classes = parseClasses();
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < entryCount("realms"); i++) {
            String path = "realms." + i + ".";
            tenants.add(new Tenant(required(path + "name"), requiredNumber(path + "allowancePerS")));
        }
        Limits limits = new Limits(
                requiredBoolean("allowed.cancel"),
                requiredBoolean("allowed.mayProbe"),
                requiredBoolean("allowed.peers"),
                requiredBoolean("allowed.secondCopies"),
                requiredBoolean("allowed.retryAfter"),
                (int) Math.min(MAX_ATTEMPT_COUNT, requiredPositive("allowed.maxAttempts")),
                requiredWhole("allowed.maxRetryAfter"));
        Rules rules = new Rules(
                requiredWhole("rules.answerSlack"),
                optionalWhole("rules.askWithin", 0),
                requiredWhole("rules.drainGrace"),
                requiredNumber("rules.coldFrom"),
                requiredWhole("rules.warmAfter"),
                requiredNumber("rules.tipMultiple"),
                requiredWhole("rules.tipAfter"),
                !"true".equals(values.get("rules.removalNotBinding")));
        Replication replication = new Replication(
                parseWord(
                        "familyInfo.serverChecks",
                        Map.of(
                                "off",
                                StalenessCheck.NONE,
                                "bounce",
                                StalenessCheck.REFUSE,
                                "await",
                                StalenessCheck.WAIT)),
                optionalWhole("familyInfo.holdsFor", 0),
                requiredBoolean("familyInfo.progressTold"),
                parseWord("familyInfo.tokenMode", Map.of("brought", true, "kept", false)),
                parseWord(
                        "familyInfo.showsRole",
                        Map.of("off", ListedRole.NONE, "trailing", ListedRole.DELAYED, "static", ListedRole.AT_START)),
                parseWord("report.how", Map.of("inline", true, "on_probe", false, "off", false)));
        Settings settings = new Settings(
                (int) requiredWhole("me"),
                (int) requiredPositive("replicasOfMe"),
                (int) requiredWhole("zone"),
                requiredPositive("step"),
                parseWord("discovery", Map.of("on_request", true, "pushed", false)),
                requiredNumber("overShareWorth"),
                limits,
                rules,
                replication,
                List.copyOf(classes),
                List.copyOf(tenants));
        String reportColumns = values.getOrDefault("report.columns", "");
        return new Setup(
                settings,
                parseWhole("familyInfo.zero", values.getOrDefault("familyInfo.zero", "0"), Long.MIN_VALUE),
                reportColumns.isEmpty() ? List.of() : List.of(reportColumns.split(",", 0)));
    }

    private List<RequestClass> parseClasses() throws MalformedInputException {
        int count = entryCount("classes");
        String[] levels = required("familyInfo.readLevel").split(",", 0);
        String[] bounds = required("familyInfo.oldestData").split(",", 0);
        if (count < 1 || levels.length < count || bounds.length < count) {
            throw new MalformedInputException("settings: classes.count is " + count + " where familyInfo.readLevel has "
                    + levels.length + " and familyInfo.oldestData " + bounds.length
                    + " entries; one of each a class is expected");
        }
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String path = "classes." + i + ".";
            classes.add(new RequestClass(
                    required(path + "name"),
                    requiredPositive(path + "aim"),
                    requiredPositive(path + "giveUp"),
                    requiredNumber(path + "gain"),
                    requiredNumber(path + "lateWorth"),
                    parseWord(
                            "familyInfo.readLevel",
                            levels[i],
                            Map.of(
                                    "mutate",
                                    Consistency.WRITE,
                                    "strong",
                                    Consistency.FRESH,
                                    "causal",
                                    Consistency.SESSION,
                                    "lag_bound",
                                    Consistency.BOUNDED,
                                    "eventual",
                                    Consistency.ANY)),
                    parseWhole("familyInfo.oldestData", bounds[i]),
                    parseWord(
                            path + "semantics",
                            Map.of(
                                    "pure",
                                    Idempotency.SAFE,
                                    "token",
                                    Idempotency.KEYED,
                                    "side_effect",
                                    Idempotency.UNSAFE)),
                    parseWord(
                            path + "group",
                            values.getOrDefault(path + "group", "all"),
                            Map.of(
                                    "all",
                                    DeduplicationScope.ALL,
                                    "zone",
                                    DeduplicationScope.ZONE,
                                    "cell",
                                    DeduplicationScope.GROUP)),
                    optionalWhole(path + "repeatWindow", 0),
                    "true".equals(values.get(path + "stream"))));
        }
        return classes;
    }

    private String required(String key) throws MalformedInputException {
        String value = values.get(key);
        if (value == null) {
            throw new MalformedInputException("settings: " + key + " is missing; a value is expected");
        }
        return value;
    }

    private int entryCount(String list) throws MalformedInputException {
        return (int) optionalWhole(list + ".count", 0);
    }

    private long optionalWhole(String key, long defaultValue) throws MalformedInputException {
        String value = values.get(key);
        return value == null ? defaultValue : parseWhole(key, value);
    }

    private long requiredWhole(String key) throws MalformedInputException {
        return parseWhole(key, required(key));
    }

    private static long parseWhole(String key, String value) throws MalformedInputException {
        return parseWhole(key, value, 0);
    }

    /** Parses a whole number that is at least {@code min}. */
    private static long parseWhole(String key, String value, long min) throws MalformedInputException {
        try {
            long number = Long.parseLong(value);
            if (number >= min) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new MalformedInputException(
                "settings: " + key + " is " + value + "; a whole number from " + min + " on is expected");
    }

    private long requiredPositive(String key) throws MalformedInputException {
        return parseWhole(key, required(key), 1);
    }

    private double requiredNumber(String key) throws MalformedInputException {
        String value = required(key);
        try {
            double number = Double.parseDouble(value);
            if (number >= 0 && number < Double.POSITIVE_INFINITY) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new MalformedInputException("settings: " + key + " is " + value + "; a number from 0 on is expected");
    }

    private boolean requiredBoolean(String key) throws MalformedInputException {
        return parseWord(key, Map.of("true", true, "false", false));
    }

    private <T> T parseWord(String key, Map<String, T> words) throws MalformedInputException {
        return parseWord(key, required(key), words);
    }

    private static <T> T parseWord(String key, String value, Map<String, T> words) throws MalformedInputException {
        T meaning = words.get(value);
        if (meaning == null) {
            throw new MalformedInputException(
                    "settings: " + key + " is " + value + "; one of " + new TreeSet<>(words.keySet()) + " is expected");
        }
        return meaning;
    }
}
