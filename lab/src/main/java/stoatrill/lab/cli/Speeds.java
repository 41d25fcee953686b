package stoatrill.lab.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import stoatrill.lab.policy.Policy;
import stoatrill.lab.run.Experiment;
import stoatrill.lab.run.Report;
import stoatrill.lab.run.Runner;

/** Measures how fast the model runs and what it holds, at growing sizes. Figures of the machine, not of a seed. */
final class Speeds {
    private Speeds() {}

    static void measure(Experiment e, long seed, Path out, PrintWriter to) throws IOException {
        int routers = e.plan().routers;
        int groups = e.plan().groups;
        int nodes = e.plan().nodes;
        double rate = e.plan().rate;
        List<Runner.Speed> all = new ArrayList<>();
        to.println("routers  nodes  groups    requests   requests/s of a core   MB held");
        for (int size : e.sizes()) {
            e.plan().routers = size;
            e.plan().groups = Math.max(1, (int) Math.round((double) groups * size / routers));
            e.plan().nodes = Math.max(e.plan().groups, (int) Math.round((double) nodes * size / routers));
            e.plan().rate = rate * size / routers;
            Runner.Speed s = Runner.speed(e.plan(), Policy.DECIDE, seed);
            all.add(s);
            to.println(String.format(
                    Locale.ROOT,
                    "%7d %6d %7d %11d %22.0f %9.1f",
                    s.routers(),
                    s.nodes(),
                    s.groups(),
                    s.requests(),
                    s.requests() / s.cpu(),
                    s.heap() / 1e6));
            to.flush();
        }
        if (out != null) {
            Report.speeds(out, all);
        }
    }
}
