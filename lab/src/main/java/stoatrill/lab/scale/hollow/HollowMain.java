package stoatrill.lab.scale.hollow;

import com.google.gson.Gson;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.nio.charset.StandardCharsets;
import stoatrill.standins.fleet.ControlLines;

/**
 * A process of hollow routers: {@code HollowMain PORT FIRST COUNT ROUTERS GROUPS ZONES SEED}. Commands come on standard
 * input, one a line, and each gives one line of JSON ({@link HollowCounts}): {@code start}, {@code await WHAT}, {@code
 * known}, {@code counts}, {@code heap}, {@code kill ZONE}, {@code move PORT}, {@code statements RATE}, {@code quit}.
 */
public final class HollowMain {
    private static final int COLLECTIONS = 2;

    private final HollowFleet fleet;
    private final PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    private final Gson gson = new Gson();

    private HollowMain(HollowFleet fleet) {
        this.fleet = fleet;
    }

    /** Serves until {@code quit} or the end of standard input. */
    public static void main(String[] arguments) throws IOException {
        HollowFleet.Setup setup = new HollowFleet.Setup(
                Integer.parseInt(arguments[0]),
                Integer.parseInt(arguments[1]),
                Integer.parseInt(arguments[2]),
                Integer.parseInt(arguments[3]),
                Integer.parseInt(arguments[4]),
                Integer.parseInt(arguments[5]),
                Long.parseLong(arguments[6]));
        try (HollowFleet fleet = new HollowFleet(setup)) {
            new HollowMain(fleet).run();
        }
    }

    private void run() throws IOException {
        ControlLines lines = new ControlLines(System.in, fleet::wakeUp);
        boolean goesOn = true;
        while (goesOn) {
            fleet.turn();
            String line = lines.poll();
            while (goesOn && line != null) {
                goesOn = !line.equals(ControlLines.QUIT);
                if (goesOn) {
                    out.println(gson.toJson(carryOut(line)));
                    line = lines.poll();
                }
            }
        }
    }

    private Object carryOut(String line) throws IOException {
        String[] words = line.split(" ", -1);
        String word = words.length > 1 ? words[1] : "";
        switch (words[0]) {
            case "counts" -> {
                return fleet.counts();
            }
            case "known" -> {
                return fleet.known();
            }
            case "heap" -> {
                return heap();
            }
            case "start" -> fleet.start();
            case "await" -> fleet.await(word);
            case "kill" -> fleet.kill(Integer.parseInt(word));
            case "move" -> fleet.move(Integer.parseInt(word));
            case "statements" -> fleet.statements(Double.parseDouble(word));
            default -> throw new IOException("no such command: " + line);
        }
        return new HollowCounts.Done(System.nanoTime());
    }

    private static HollowCounts.Heap heap() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < COLLECTIONS; i++) {
            memory.gc();
        }
        return new HollowCounts.Heap(memory.getHeapMemoryUsage().getUsed());
    }
}
