import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Runs one case: {@code Cases NUMBER FOLDER ROOT}. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
 * couldn't run. {@code TROUBLE=0} in the environment leaves the disruption out.
 */
public final class Cases {
    private static final long LIMIT_MILLIS = 110_000;

    private Cases() {}

    /** A case; true if the rule held. */
    interface Case {
        boolean run(Setting setting) throws Exception;
    }

    /** What a case runs in. */
    static final class Setting {
        final Path root;
        final Path temporary;
        final Record record;
        final boolean hasTrouble;

        Setting(Path root, Path temporary, Record record, boolean hasTrouble) {
            this.root = root;
            this.temporary = temporary;
            this.record = record;
            this.hasTrouble = hasTrouble;
        }
    }

    /** A class of requests; times in milliseconds, the bound is 0 unless its reads are bounded. */
    static final class Kind {
        final String name;
        final long aim;
        final long giveUp;
        final double gain;
        final double lateWorth;
        final String semantics;
        final String level;
        final long bound;

        Kind(String name, long aim, long giveUp, double gain, double late, String semantics, String level, long bound) {
            this.name = name;
            this.aim = aim;
            this.giveUp = giveUp;
            this.gain = gain;
            this.lateWorth = late;
            this.semantics = semantics;
            this.level = level;
            this.bound = bound;
        }
    }

    /** The classes of kingston-records. */
    static final List<Kind> KINGSTON = List.of(
            new Kind("recent-read", 150, 600, 1, 0, "pure", "lag_bound", 300),
            new Kind("archive-read", 150, 500, 1, 0.2, "pure", "eventual", 0),
            new Kind("reading-upload", 300, 3000, 6, 0.3, "side_effect", "mutate", 0));

    /** The settings of a small deployment. */
    static String settings(List<Kind> kinds, int routers, int me, long drainGraceMillis) {
        return String.format(
                Locale.ROOT,
                "{\"allowed\":{\"cancel\":true,\"connIdle\":30000000000,\"connectTimeout\":250000000,"
                        + "\"maxAttempts\":8,\"maxRetryAfter\":1000000000,\"mayProbe\":true,\"mostHeld\":20000,"
                        + "\"peers\":false,\"retryAfter\":true,\"secondCopies\":true,\"streamsPerConn\":1},"
                        + "\"classes\":[%s],\"discovery\":\"on_request\",\"family\":\"replicas\","
                        + "\"familyInfo\":{\"commitWaits\":true,\"holdsFor\":0,\"oldestData\":[%s],"
                        + "\"progressTold\":true,\"readLevel\":[%s],\"serverChecks\":\"off\","
                        + "\"showsRole\":\"trailing\",\"tokenMode\":\"kept\"},"
                        + "\"hostTypes\":[\"std-8\"],\"me\":%d,\"overShareWorth\":0.1,\"realms\":[],"
                        + "\"replicasOfMe\":%d,\"report\":{\"columns\":[\"x0\",\"x1\",\"q\"],\"how\":\"inline\"},"
                        + "\"rules\":{\"answerSlack\":8000000,\"askWithin\":10000000000,\"coldFrom\":0.24,"
                        + "\"drainGrace\":%d,\"tipAfter\":1000000000,\"tipMultiple\":3.0,\"warmAfter\":18000000000},"
                        + "\"step\":2000000,\"weights\":\"off\",\"zone\":0,\"zones\":[\"mona\",\"papine\"]}",
                kinds.stream().map(Cases::classSetting).collect(Collectors.joining(",")),
                kinds.stream().map(k -> Long.toString(k.bound * 1_000_000)).collect(Collectors.joining(",")),
                kinds.stream().map(k -> '"' + k.level + '"').collect(Collectors.joining(",")),
                me,
                routers,
                drainGraceMillis * 1_000_000);
    }

    private static String classSetting(Kind kind) {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"aim\":%d,\"giveUp\":%d,\"gain\":%.1f,\"lateWorth\":%.1f,\"semantics\":\"%s\","
                        + "\"group\":\"all\",\"repeatWindow\":5000000000,\"stream\":false}",
                kind.name,
                kind.aim * 1_000_000,
                kind.giveUp * 1_000_000,
                kind.gain,
                kind.lateWorth,
                kind.semantics);
    }

    /** A task that ends with an exception when its connection does. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // the connection or the case has ended
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public static void main(String[] arguments) throws IOException {
        Path folder = Path.of(arguments[1]).toAbsolutePath();
        Path root = Path.of(arguments[2]).toAbsolutePath();
        Path temporary = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> cleanUp(temporary)));
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        daemon("limit", () -> {
            Thread.sleep(LIMIT_MILLIS);
            System.err.println("the case did not end in time");
            System.exit(2);
        });
        try (Record record = new Record(folder.resolve("record.txt"))) {
            try {
                boolean held = find(arguments[0]).run(new Setting(root, temporary, record, hasTrouble));
                record.say(held ? "the rule held" : "the rule was broken");
                status = held ? 0 : 1;
            } catch (Exception e) {
                record.say("the case could not run: %s", e);
                e.printStackTrace();
            }
        }
        System.exit(status);
    }

    /** Ends the routers that were started and removes the temporary folder. */
    private static void cleanUp(Path temporary) {
        Router.closeAll();
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // the folder is left to the system
        }
    }

    private static Case find(String number) {
        return switch (number) {
            case "6" -> new SurplusAnswer();
            case "7" -> new HeldUploads();
            case "8" -> new SlowReader();
            case "9" -> new CrowdedReader();
            default -> throw new IllegalArgumentException("no case " + number);
        };
    }
}
