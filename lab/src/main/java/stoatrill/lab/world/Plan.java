package stoatrill.lab.world;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import stoatrill.Gateway.Consistency;
import stoatrill.Gateway.Idempotency;
import stoatrill.contract.Contracts;
import stoatrill.lab.load.Range;
import stoatrill.lab.load.Trace;
import stoatrill.settings.BlockReader;
import stoatrill.settings.Directive;
import stoatrill.settings.Quantity;
import stoatrill.settings.Word;

/** What a deployment is like, as ranges that each day draws from. Spans are in nanoseconds. */
public final class Plan {
    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;
    private static final long LONG = 3_600 * S;

    /** A class of requests and what clients ask of it. */
    public record Kind(
            String name,
            double share,
            Range work,
            double noise,
            long aim,
            long giveUp,
            double worth,
            double lateWorth,
            Consistency need,
            long age) {
        Idempotency effect() {
            return need == Consistency.WRITE ? Idempotency.UNSAFE : Idempotency.SAFE;
        }
    }

    /**
     * A team: its share of the requests, what its worth is multiplied by, and how many times as much it asks for a
     * while; {@code jumpAt} counts from the day's start.
     */
    public record Team(String name, double share, double worth, long jumpAt, long jumpFor, double jump) {
        /** How much it asks at a time, counted from the day's start, beside what it does otherwise. */
        double times(long at) {
            return at >= jumpAt && at < jumpAt + jumpFor ? jump : 1;
        }
    }

    public long length = 45 * S;
    public long tick = 2 * MS;
    public final List<String> zones = new ArrayList<>();
    public int routers;
    public int groups;
    public int nodes;
    public int cores;
    public Range load;
    public double rate;
    public Range swing;
    public int keys;
    public double zipf;
    public Range near;
    public Range far;
    public Range client;
    public Range speed;
    public Range speedSpread;
    public Range queue;
    public Range thrash;
    public Range thrashAt;
    public Range coldFrom;
    public Range warm;
    public Range handshake;
    public Range probeWork;
    public double errors;
    public Range reportPeriod;
    public Range reportDelay;
    public Range ship;
    public Range applyUse;
    public Range detect;
    public Range elect;
    public Range handOver;
    public Range copyAge;
    public boolean sync;
    public Range listNotice;
    public Range roleNotice;
    public Range listSpread;
    /** What one call takes of the list, which handles one at a time, and how long one waits before it fails. */
    public long listCall;

    public long listPatience;
    public Range frontNotice;
    public Range retries;
    public Range tryShare;
    public Range honour;
    public Range backoff;
    public int sockets;
    public boolean probes;
    public int attempts;
    public long drainGrace;
    public double tipMultiple;
    public long tipAfter;
    public final List<Kind> kinds = new ArrayList<>();
    public final List<Team> teams = new ArrayList<>();
    public final List<Trouble> troubles = new ArrayList<>();
    /** How many of the troubles a day meets, drawn by their weights; 0 for all of them. */
    public int drawn;

    public String traceFile;
    /** The file of the contracts that teams are held to, and what it says; null without. */
    public String contractsFile;

    public Contracts contracts;
    public List<Trace.Line> trace = List.of();

    private BlockReader in;

    /** Reads the blocks {@code model}, {@code class}, {@code team} and {@code trouble}, and {@code day}. */
    public static Plan read(BlockReader file) {
        Plan p = new Plan();
        p.length = file.timeSpan("day", S, 24 * LONG, p.length);
        p.traceFile = file.text("trace", null);
        p.contractsFile = file.text("contracts", null);
        file.readBlock("model", p::model);
        Set<String> names = new HashSet<>();
        for (Directive d : file.directives("class")) {
            named(
                    file,
                    d,
                    names,
                    inside -> p.kinds.add(kind(inside, d.words().get(0).text())));
        }
        names.clear();
        for (Directive d : file.directives("team")) {
            named(
                    file,
                    d,
                    names,
                    inside -> p.teams.add(new Team(
                            d.words().get(0).text(),
                            inside.share("share", 0, 1, 0),
                            inside.number("worth", 0, 1e6, 1),
                            inside.timeSpan("jump-at", 0, LONG, 0),
                            inside.timeSpan("jump-for", 0, LONG, 10 * S),
                            inside.number("jump", 1, 1000, 1))));
        }
        p.drawn = file.count("draw-troubles", 0, 100, 0);
        for (Directive d : file.directives("trouble")) {
            p.trouble(file, d);
        }
        if (p.kinds.isEmpty()) {
            p.kinds.add(new Kind(
                    "recent-read",
                    0.48,
                    new Range(25 * MS, 43 * MS),
                    0.3,
                    150 * MS,
                    600 * MS,
                    1,
                    0,
                    Consistency.BOUNDED,
                    300 * MS));
            p.kinds.add(new Kind(
                    "archive-read",
                    0.459,
                    new Range(25 * MS, 43 * MS),
                    0.3,
                    150 * MS,
                    500 * MS,
                    1,
                    0.2,
                    Consistency.ANY,
                    0));
            p.kinds.add(new Kind(
                    "reading-upload",
                    0.061,
                    new Range(37 * MS, 64 * MS),
                    0.35,
                    300 * MS,
                    3 * S,
                    6,
                    0.3,
                    Consistency.WRITE,
                    0));
        }
        whole(file, "class", p.kinds.stream().mapToDouble(Kind::share).sum());
        if (!p.teams.isEmpty()) {
            whole(file, "team", p.teams.stream().mapToDouble(Team::share).sum());
        }
        return p;
    }

    private static void whole(BlockReader file, String what, double sum) {
        if (Math.abs(sum - 1) > 0.011 && !file.directives(what).isEmpty()) {
            file.addProblem(
                    file.directives(what).get(0).position(),
                    "the shares of all " + what + " blocks come to " + String.format(Locale.ROOT, "%.1f%%", sum * 100)
                            + "; make them 100%");
        }
    }

    private static void named(
            BlockReader file, Directive d, Set<String> names, java.util.function.Consumer<BlockReader> then) {
        List<Word> words = file.checkedWords(d, 1, 1, d.name().text() + " NAME {");
        if (words == null) {
            return;
        }
        if (!names.add(words.get(0).text())) {
            file.addProblem(
                    words.get(0).position(), "\"" + words.get(0).text() + "\" is given twice; rename one of them");
        }
        inside(file, d, then);
    }

    private static void inside(BlockReader file, Directive d, java.util.function.Consumer<BlockReader> then) {
        if (d.block() == null) {
            file.addProblem(d.position(), "\"" + d.name().text() + "\" opens a block; end the line with '{'");
            return;
        }
        BlockReader inside = file.nestedReader(d.block());
        then.accept(inside);
        inside.reportUnknown();
    }

    private static Range spans(BlockReader in, String name, long least, long most) {
        return range(in.range(name, Quantity.SPAN, 0, LONG, least, most), 1);
    }

    private static Range range(long[] two, double unit) {
        return new Range(two[0] / unit, two[1] / unit);
    }

    private Range numbers(String name, double least, double most) {
        return range(
                in.range(name, Quantity.NUMBER, 0, 1_000_000_000, Math.round(least * 1e3), Math.round(most * 1e3)),
                1e3);
    }

    private Range shares(String name, double least, double most) {
        return range(
                in.range(name, Quantity.SHARE, 0, 10_000_000, Math.round(least * 1e6), Math.round(most * 1e6)), 1e6);
    }

    private void model(BlockReader reader) {
        in = reader;
        Directive named = in.directive("zones");
        if (named != null && in.checkedWords(named, 1, 16, "zones NAME ...") != null) {
            named.words().forEach(w -> zones.add(w.text()));
        } else {
            zones.addAll(List.of("mona", "papine"));
        }
        routers = in.count("routers", 1, 100_000, 3);
        groups = in.count("groups", 1, 100_000, 1);
        nodes = in.count("nodes", 1, 1_000_000, 6);
        if (nodes < groups) {
            in.addProblem(
                    in.directives("nodes").isEmpty()
                            ? in.directives("groups").get(0).position()
                            : in.directives("nodes").get(0).position(),
                    nodes + " nodes can't make " + groups + " groups; a group needs one at least");
        }
        cores = in.count("cores", 1, 1024, 8);
        load = shares("load", 0.5, 0.5);
        rate = in.rate("rate", 0);
        swing = shares("swing", 0.1, 0.3);
        keys = in.count("keys", 1, 100_000_000, 100_000);
        zipf = in.number("zipf", 0, 4, 0.9);
        near = spans(in, "near", 81_000, 340_000);
        far = spans(in, "far", 1_400_000, 2_600_000);
        client = spans(in, "client", 290_000, 890_000);
        speed = numbers("speed", 0.85, 1.1);
        speedSpread = shares("speed-spread", 0.03, 0.25);
        queue = numbers("queue-per-core", 9.2, 37);
        thrash = numbers("thrash", 0.041, 0.23);
        thrashAt = numbers("thrash-at", 3.1, 6);
        coldFrom = shares("cold-from", 0.24, 0.48);
        warm = spans(in, "warm-after", 5_300 * MS, 18 * S);
        handshake = spans(in, "handshake", 1_800_000, 7_200_000);
        probeWork = spans(in, "probe-work", 120_000, 480_000);
        errors = in.share("errors", 0, 1, 0.001);
        reportPeriod = spans(in, "report-period", 97 * MS, 210 * MS);
        reportDelay = spans(in, "report-delay", 14 * MS, 78 * MS);
        ship = spans(in, "ship", 2 * MS, 12 * MS);
        applyUse = shares("apply-use", 0.46, 0.66);
        detect = spans(in, "detect", S, 2_600 * MS);
        elect = spans(in, "elect", 1_100 * MS, 3 * S);
        handOver = spans(in, "hand-over", 310 * MS, 900 * MS);
        copyAge = spans(in, "copy-age", 2_400 * MS, 7_800 * MS);
        sync = !"no".equals(in.text("sync", "yes"));
        listNotice = spans(in, "list-notice", 1_200 * MS, 5 * S);
        roleNotice = spans(in, "role-notice", 1_100 * MS, 5 * S);
        listSpread = spans(in, "list-spread", 25 * MS, 270 * MS);
        listCall = in.timeSpan("list-call", 10_000, S, MS);
        listPatience = in.timeSpan("list-patience", MS, LONG, 2 * S);
        frontNotice = spans(in, "front-notice", 1_400 * MS, 4 * S);
        retries = numbers("client-retries", 2, 3.99);
        tryShare = shares("try-share", 0.4, 1);
        honour = shares("honour", 0.32, 1);
        backoff = spans(in, "backoff", 0, 60 * MS);
        sockets = in.count("sockets", 64, 65_536, 512);
        probes = !"no".equals(in.text("probes", "yes"));
        attempts = in.count("attempts", 1, 64, 8);
        tick = in.timeSpan("tick", 100_000, S, tick);
        drainGrace = in.timeSpan("drain-grace", 0, LONG, 2 * S);
        tipMultiple = in.number("tip-multiple", 1, 1000, 3);
        tipAfter = in.timeSpan("tip-after", 20 * MS, LONG, S);
    }

    private static Kind kind(BlockReader in, String name) {
        Consistency need = in.enumValue("reads", Consistency.class, Consistency.ANY);
        return new Kind(
                name,
                in.share("share", 0, 1, 0),
                spans(in, "work", 30 * MS, 30 * MS),
                in.share("noise", 0, 4, 0.3),
                in.timeSpan("aim", MS, LONG, 150 * MS),
                in.timeSpan("give-up", MS, LONG, 600 * MS),
                in.number("worth", 0, 1e6, 1),
                in.number("late-worth", 0, 1, 0),
                need,
                in.timeSpan("age", 0, LONG, 300 * MS));
    }

    private void trouble(BlockReader file, Directive d) {
        List<Word> words = file.checkedWords(d, 1, 1, "trouble KIND {");
        if (words == null) {
            return;
        }
        Trouble.Kind kind = file.enumValue(words.get(0), Trouble.Kind.class, Trouble.Kind.JUMP);
        inside(file, d, inside -> {
            in = inside;
            boolean share = kind == Trouble.Kind.ROUTER_RESTART
                    || kind == Trouble.Kind.FAST_ERRORS
                    || kind == Trouble.Kind.NODE_CRASH
                    || kind == Trouble.Kind.NODE_HANG;
            troubles.add(new Trouble(
                    kind,
                    spans(in, "at", 5 * S, 25 * S),
                    spans(in, "for", 8 * S, 15 * S),
                    shares("part", 0.1, 0.1),
                    share ? shares("size", 0.5, 0.5) : numbers("size", 2, 2),
                    spans(in, "extra", S, S),
                    in.number("weight", 0, 1e6, 1)));
        });
    }
}
