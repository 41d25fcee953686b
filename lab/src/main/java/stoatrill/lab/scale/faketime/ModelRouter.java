package stoatrill.lab.scale.faketime;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import stoatrill.Gateway;
import stoatrill.Gateway.ListKind;
import stoatrill.core.Answer;
import stoatrill.core.Clocks;
import stoatrill.core.DeadlineQueue;
import stoatrill.core.Effects;
import stoatrill.core.Reducer;
import stoatrill.core.ServerEntry;
import stoatrill.core.Statement;
import stoatrill.discovery.DiscoveryClient;
import stoatrill.lab.sim.EventWheel;

/**
 * The control path of one router: the real discovery client, reducer and module, before a modelled discovery. It has
 * no clients, so its module never holds a statement, and opens no connection to a database.
 */
final class ModelRouter implements Effects, DiscoveryClient.Environment {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long TRIP = MILLI;
    /** With nothing held the module's regular look finds nothing, so it may be seldom. */
    private static final long TICK = 2 * SECOND;
    /** Entries that the reducer is handed of a list; the client reads all of them. */
    private static final int HANDED_ON = 16;

    private static final Gateway.Settings SETTINGS = settings();
    private static final String HOST = "10.0.0.1:8500";

    private final EventWheel time;
    private final DiscoveryModel discovery;
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private final Reducer reducer;
    private final DiscoveryClient client;
    private int connection;
    private boolean open;
    private boolean cut;
    private boolean stopped;
    private long wakeAt = Long.MAX_VALUE;
    private long known;
    private boolean hasList;
    private Runnable onList = () -> {};

    /**
     * A router that has not begun.
     *
     * @param version of the list that it starts with; negative if it has none
     */
    ModelRouter(EventWheel time, DiscoveryModel discovery, long version, long seed) {
        this.time = time;
        this.discovery = discovery;
        this.known = version;
        this.hasList = version >= 0;
        this.reducer = new Reducer(
                this,
                new Clocks(time.now(), time.now()),
                deadlines,
                new Reducer.Setup(SETTINGS, List.of("z0"), List.of("m2"), 250 * MILLI, 30 * SECOND, 1_000, 100, seed));
        this.client = new DiscoveryClient(this, deadlines, HOST, version, DiscoveryClient.Timing.of(SETTINGS, seed));
    }

    private static Gateway.Settings settings() {
        return new Gateway.Settings(
                0,
                DesignSize.ROUTERS,
                0,
                TICK,
                true,
                0.1,
                new Gateway.Limits(true, true, false, true, true, 8, SECOND),
                new Gateway.Rules(8 * MILLI, 10 * SECOND, 2 * SECOND, 0.3, 12 * SECOND, 3, SECOND, true),
                new Gateway.Replication(Gateway.StalenessCheck.NONE, 0, true, false, Gateway.ListedRole.DELAYED, true),
                List.of(),
                List.of());
    }

    /** Begins with what it holds, and follows the list. */
    void start() {
        run(() -> reducer.onServerList(time.now(), ListKind.CACHED, List.of()));
    }

    /** Its process is gone. */
    void stop() {
        stopped = true;
        open = false;
        connection++;
    }

    /** Cuts its machine off from discovery, or ends the cut; what was open across is reset then. */
    void cut(boolean isCut) {
        cut = isCut;
        if (!isCut && open) {
            open = false;
            connection++;
            run(() -> client.broken(time.now()));
        }
    }

    /** The newest version of which it has an entry, or that it began with. */
    long known() {
        return known;
    }

    /** Runs something once it has a list. */
    void onList(Runnable then) {
        onList = then;
    }

    /** Whether a call that came over this connection is still waited for. */
    boolean waitsOn(int number) {
        return !stopped && connection == number;
    }

    private void run(Runnable event) {
        event.run();
        long next = deadlines.nextDueAt();
        if (next < wakeAt) {
            wakeAt = next;
            time.at(next, () -> wake(next));
        }
    }

    private void wake(long at) {
        if (!stopped && at == wakeAt) {
            wakeAt = Long.MAX_VALUE;
            run(() -> reducer.runDueDeadlines(time.now()));
        }
    }

    // ---- The connection to discovery ----

    @Override
    public void openDiscovery() {
        int mine = ++connection;
        if (!cut) {
            time.at(time.now() + 2 * TRIP, () -> {
                if (waitsOn(mine) && !cut) {
                    open = true;
                    run(() -> client.connected(time.now()));
                }
            });
        }
    }

    @Override
    public void sendToDiscovery(byte[] request) {
        if (cut) {
            return;
        }
        int mine = connection;
        String line = new String(request, StandardCharsets.US_ASCII);
        long from = number(line, "from=");
        long hold = Math.max(0, number(line, "hold_ms=")) * MILLI;
        time.at(time.now() + TRIP, () -> {
            if (!cut) {
                discovery.arrived(new DiscoveryModel.Call(this, mine, from, time.now() + hold), request.length);
            }
        });
    }

    private static long number(String line, String name) {
        int at = line.indexOf(name);
        if (at < 0) {
            return -1;
        }
        int end = at + name.length();
        while (Character.isDigit(line.charAt(end))) {
            end++;
        }
        return Long.parseLong(line.substring(at + name.length(), end));
    }

    /** Discovery has answered a call that came over a connection; lost if the router is cut off. */
    void answered(int number, byte[] head, byte[] body) {
        time.at(time.now() + TRIP, () -> {
            if (waitsOn(number) && !cut) {
                run(() -> {
                    client.received(time.now(), ByteBuffer.wrap(head));
                    if (body.length > 0 && waitsOn(number)) {
                        client.received(time.now(), ByteBuffer.wrap(body));
                    }
                });
            }
        });
    }

    @Override
    public void closeDiscovery() {
        open = false;
        connection++;
    }

    // ---- The list ----

    @Override
    public void onServerList(long now, ListKind kind, List<ServerEntry> entries) {
        known = entries.stream().mapToLong(ServerEntry::startedAtMillis).reduce(known, Math::max);
        List<ServerEntry> handed = entries.subList(0, Math.min(HANDED_ON, entries.size()));
        // A part of the whole list is no whole list: as changes, it takes nothing from what is held.
        reducer.onServerList(now, kind == ListKind.FULL ? ListKind.DELTA : kind, handed);
        if (kind == ListKind.FULL && !hasList) {
            hasList = true;
            onList.run();
        }
    }

    @Override
    public void watchServerList(boolean on) {
        time.at(time.now(), () -> {
            if (!stopped) {
                run(() -> client.follow(time.now(), on));
            }
        });
    }

    @Override
    public void fetchServerList() {
        time.at(time.now(), () -> {
            if (!stopped) {
                run(() -> client.fetch(time.now()));
            }
        });
    }

    @Override
    public void log(String line) {}

    // ---- Statements and databases: none ----

    @Override
    public void openConnection(long id, InetSocketAddress endpoint) {}

    @Override
    public void sendQuery(long id, Statement statement, long waitMillis) {}

    @Override
    public void synchronize(long id) {}

    @Override
    public boolean hasNoUnreadData(long id) {
        return true;
    }

    @Override
    public void sendProbe(long id) {}

    @Override
    public void closeConnection(long id) {}

    @Override
    public void answerClient(long from, long slot, Answer answer) {}
}
