package stoatrill.standins.fleet;

import java.util.Locale;

/**
 * One server as the list shows it. Endpoints lie in 127/8, so that whoever connects to one stays on this machine.
 *
 * @param number which place of the fleet it has, from 0 on
 * @param incarnation how often the server of that place was replaced
 * @param zone the place of its zone, from 0 on
 * @param group the number of its group
 * @param state what the list says of it
 * @param primary whether it takes its group's writes
 * @param bootMillis Unix time of its last start; 0 for long ago
 */
public record FleetServer(
        int number, int incarnation, int zone, int group, State state, boolean primary, long bootMillis) {

    /** What the list says of a server. */
    public enum State {
        READY("Ready"),
        DRAINING("Terminating"),
        GONE("Gone");

        private final String word;

        State(String word) {
            this.word = word;
        }

        /** The state in the list's own words. */
        public String word() {
            return word;
        }
    }

    /** Its name, which a replacement does not share. */
    public String uid() {
        return String.format(Locale.ROOT, "pg-%04d-%02d", number, incarnation);
    }

    /** The name of a zone. */
    public static String zoneName(int zone) {
        return String.format(Locale.ROOT, "zone-%02d", zone);
    }

    FleetServer in(State other) {
        return new FleetServer(number, incarnation, zone, group, other, primary, bootMillis);
    }

    FleetServer asPrimary(boolean on) {
        return new FleetServer(number, incarnation, zone, group, state, on, bootMillis);
    }

    FleetServer replacement(long bootedAt) {
        return new FleetServer(number, incarnation + 1, zone, group, State.READY, primary, bootedAt);
    }

    FleetServer restarted(long bootedAt) {
        return new FleetServer(number, incarnation, zone, group, State.READY, primary, bootedAt);
    }

    String json() {
        return String.format(
                Locale.ROOT,
                "{\"uid\":\"%s\",\"endpoint\":\"127.%d.%d.%d:5432\",\"az\":\"%s\",\"model\":\"std\","
                        + "\"pod_group\":%d,\"capacity_hint\":1.0,\"boot_ms\":%d,\"access\":\"%s\",\"state\":\"%s\"}",
                uid(),
                16 + incarnation % 200,
                number / 250,
                1 + number % 250,
                zoneName(zone),
                group,
                bootMillis,
                primary ? "writer" : "reader",
                state.word());
    }
}
