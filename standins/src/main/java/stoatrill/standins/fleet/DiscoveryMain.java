package stoatrill.standins.fleet;

import com.google.gson.Gson;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The process of a fleet's discovery: {@code DiscoveryMain SERVERS GROUPS ZONES}. Commands come on standard input, one
 * a line, and each gives one line of JSON ({@link DiscoveryReply}, {@link DiscoveryCounts}). {@code drain}, {@code
 * primary GROUP}, {@code replace COUNT}, {@code zone-lost ZONE} and {@code zone-back ZONE} plan a change, and {@code
 * show} shows it; the others are {@code listen}, {@code away}, {@code back}, {@code counts}, {@code told VERSION} and
 * {@code quit}.
 */
public final class DiscoveryMain {
    private final FleetList list;
    private final FleetDiscovery discovery;
    private final PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    private final Gson gson = new Gson();
    private List<FleetServer> planned = List.of();

    private DiscoveryMain(FleetList list) throws IOException {
        this.list = list;
        this.discovery = new FleetDiscovery(list);
    }

    /** Serves until {@code quit} or the end of standard input. */
    public static void main(String[] arguments) throws IOException {
        new DiscoveryMain(new FleetList(
                        Integer.parseInt(arguments[0]), Integer.parseInt(arguments[1]), Integer.parseInt(arguments[2])))
                .run();
    }

    private void run() throws IOException {
        ControlLines lines = new ControlLines(System.in, discovery::wakeUp);
        boolean goesOn = true;
        while (goesOn) {
            discovery.turn();
            String line = lines.poll();
            while (goesOn && line != null) {
                goesOn = !line.equals(ControlLines.QUIT);
                if (goesOn) {
                    out.println(gson.toJson(carryOut(line)));
                    line = lines.poll();
                }
            }
        }
        discovery.close();
    }

    private Object carryOut(String line) throws IOException {
        String[] words = line.split(" ", -1);
        int number = words.length > 1 ? Integer.parseInt(words[1]) : 0;
        return switch (words[0]) {
            case "listen" -> new DiscoveryReply.Listens(discovery.listen());
            case "drain" -> plan(list.drain());
            case "primary" -> plan(list.movePrimary(number));
            case "replace" -> plan(list.replace(number, System.currentTimeMillis()));
            case "zone-lost" -> plan(list.zone(number, false, System.currentTimeMillis()));
            case "zone-back" -> plan(list.zone(number, true, System.currentTimeMillis()));
            case "show" -> show();
            case "away" -> {
                discovery.goAway();
                yield new DiscoveryReply.Done(System.nanoTime());
            }
            case "back" -> {
                discovery.comeBack();
                yield new DiscoveryReply.Done(System.nanoTime());
            }
            case "counts" -> discovery.counts();
            case "told" -> discovery.told(number);
            default -> throw new IOException("no such command: " + line);
        };
    }

    private DiscoveryReply.Planned plan(List<FleetServer> changes) {
        planned = changes;
        return new DiscoveryReply.Planned(changes.stream()
                .map(server ->
                        new DiscoveryReply.Entry(server.uid(), server.state().word(), server.primary()))
                .toList());
    }

    private DiscoveryReply.Shown show() {
        long at = System.nanoTime();
        long version = list.show(planned);
        discovery.changed();
        return new DiscoveryReply.Shown(version, at);
    }
}
