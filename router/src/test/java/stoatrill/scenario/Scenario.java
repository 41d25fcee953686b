package stoatrill.scenario;

import java.nio.charset.StandardCharsets;

/**
 * Runs the scripts of scenario tests. Each line is one step: {@code ACTOR send TEXT}, {@code ACTOR expect TEXT},
 * {@code ACTOR close} or {@code wait MILLIS}. The {@link Driver} defines the meaning of the texts.
 */
public final class Scenario {

    /** Carries out the steps of a scenario. */
    public interface Driver {
        /** Makes an actor send a text. */
        void send(String actor, String text) throws Exception;

        /** Checks that an actor receives a text next. */
        void expect(String actor, String text) throws Exception;

        /** Closes the connection of an actor. */
        void close(String actor) throws Exception;

        /** Lets time pass. */
        void advanceTime(long millis) throws Exception;
    }

    private Scenario() {}

    /** Plays the steps in order. A failure names the line of its step. */
    public static void run(Driver driver, String steps) throws Exception {
        int lineNumber = 0;
        for (String line : steps.lines().toList()) {
            lineNumber++;
            String[] words = line.strip().split(" ", 3);
            String text = words.length > 2 ? words[2] : "";
            try {
                if (words[0].equals("wait")) {
                    driver.advanceTime(Long.parseLong(words[1]));
                } else if (!words[0].isEmpty()) {
                    switch (words[1]) {
                        case "send" -> driver.send(words[0], text);
                        case "expect" -> driver.expect(words[0], text);
                        case "close" -> driver.close(words[0]);
                        default -> throw new IllegalArgumentException("no such verb: " + words[1]);
                    }
                }
            } catch (AssertionError | Exception e) {
                throw new AssertionError("line " + lineNumber + ", " + line.strip() + ": " + e.getMessage(), e);
            }
        }
    }

    /** Returns the configuration that scenarios start from. */
    public static String defaultConfig() throws Exception {
        try (var input = Scenario.class.getResourceAsStream("/config.json")) {
            return new String(input.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
