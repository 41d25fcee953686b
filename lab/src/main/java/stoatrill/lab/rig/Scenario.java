package stoatrill.lab.rig;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import stoatrill.settings.BlockReader;
import stoatrill.settings.Directive;
import stoatrill.settings.Problems;
import stoatrill.settings.SettingsException;
import stoatrill.settings.SettingsFile;
import stoatrill.settings.Word;

/**
 * A run of the rig, in the settings form of the lab's experiments: its size, its clients, faults at times and a
 * random nemesis from a seed.
 *
 * <pre>
 * scenario mixed                 a name
 * routers 3                      1 to 1,024
 * nodes 4                        2 to 1,024; the first is the primary
 * clients 6                      1 to 256
 * uploads 30%                    the share of requests that are uploads
 * length 6s                      how long faults go on; clients go on until the last is undone
 * fault pause {                  a fault: pause, kill, term, deafen, reset, lag or cut
 *   at 2s                        from the start of the schedule
 *   for 1s
 *   router 1                     for pause, kill, term and deafen
 *   node 0                       for deafen, reset, lag and cut
 * }
 * nemesis {                      faults drawn from the seed (see {@link Nemesis})
 *   kinds pause kill deafen
 *   gap 300ms..900ms
 *   for 200ms..1.5s
 * }
 * </pre>
 *
 * @param faults the faults, the written and the drawn, sorted by beginning
 */
public record Scenario(
        String name, int routers, int nodes, int clients, double uploads, long length, List<Fault> faults) {

    /**
     * Reads a scenario; {@code seed} draws the nemesis's faults.
     *
     * @throws SettingsException with every problem found, each with its line and what to write
     */
    public static Scenario parse(String file, String text, long seed) throws SettingsException {
        return parse(file, text, seed, 0);
    }

    /** As {@link #parse(String, String, long)}, with {@code routers} in place of the file's where it is above 0. */
    public static Scenario parse(String file, String text, long seed, int routersInstead) throws SettingsException {
        Problems problems = new Problems();
        BlockReader in = new BlockReader(SettingsFile.parse(file, text), problems);
        String name = in.text("scenario", "unnamed");
        int written = in.count("routers", 1, 1024, 3);
        int routers = routersInstead > 0 ? routersInstead : written;
        int nodes = in.count("nodes", 2, 1024, 4);
        int clients = in.count("clients", 1, 256, 6);
        double uploads = in.share("uploads", 0, 1, 0.3);
        long length = in.timeSpan("length", 1_000_000L, 3_600_000_000_000L, 6_000_000_000L);
        List<Fault> faults = new ArrayList<>();
        for (Directive d : in.directives("fault")) {
            List<Word> kind = in.checkedWords(d, 1, 1, "fault KIND {");
            if (d.block() == null || kind.isEmpty()) {
                in.addProblem(d.position(), "write \"fault KIND {\" with at, for, router and node inside");
                continue;
            }
            Fault.Kind k = in.enumValue(kind.get(0), Fault.Kind.class, Fault.Kind.PAUSE);
            BlockReader f = in.nestedReader(d.block());
            long at = f.timeSpan("at", 0, length, 0);
            long span = f.timeSpan("for", 1_000_000L, length, 1_000_000_000L);
            int router = f.count("router", -1, routers - 1, k.ofProcess() || k == Fault.Kind.DEAFEN ? 0 : -1);
            int node = f.count("node", -1, nodes - 1, k.ofProcess() ? -1 : 0);
            f.reportUnknown();
            faults.add(new Fault(at, Math.min(span, length - at), k, router, node));
        }
        Directive nemesis = in.directive("nemesis");
        if (nemesis != null && nemesis.block() != null) {
            BlockReader n = in.nestedReader(nemesis.block());
            Set<Fault.Kind> kinds = EnumSet.noneOf(Fault.Kind.class);
            Directive named = n.directive("kinds");
            if (named == null) {
                kinds.addAll(EnumSet.allOf(Fault.Kind.class));
            } else {
                named.words().forEach(w -> kinds.add(n.enumValue(w, Fault.Kind.class, Fault.Kind.PAUSE)));
            }
            long[] gap =
                    n.range("gap", stoatrill.settings.Quantity.SPAN, 1_000_000L, length, 300_000_000L, 900_000_000L);
            long[] span =
                    n.range("for", stoatrill.settings.Quantity.SPAN, 1_000_000L, length, 200_000_000L, 1_500_000_000L);
            n.reportUnknown();
            if (problems.isEmpty()) {
                faults.addAll(Nemesis.schedule(seed, routers, nodes, length, gap, span, kinds));
            }
        } else if (nemesis != null) {
            in.addProblem(nemesis.position(), "\"nemesis\" opens a block; end the line with '{'");
        }
        in.reportUnknown();
        problems.throwIfAny();
        faults.sort(Comparator.comparingLong(Fault::at));
        return new Scenario(name, routers, nodes, clients, uploads, length, List.copyOf(faults));
    }
}
