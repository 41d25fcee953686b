package stoatrill.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import stoatrill.Gateway;
import stoatrill.config.Config;
import stoatrill.core.Answer;
import stoatrill.core.Break;
import stoatrill.core.ClientRequest;
import stoatrill.core.Clocks;
import stoatrill.core.Deadlines;
import stoatrill.core.Deadlines.Deadline;
import stoatrill.core.Effects;
import stoatrill.core.Reducer;
import stoatrill.core.ServerAnswer;
import stoatrill.core.ServerEntry;
import stoatrill.core.Statement;
import stoatrill.core.Tally;
import stoatrill.discovery.DiscoveryClient;
import stoatrill.discovery.ServerList;
import stoatrill.io.Connection;
import stoatrill.io.FileReader;
import stoatrill.io.Listener;
import stoatrill.io.Opened;
import stoatrill.io.Outcome;
import stoatrill.io.Poller;
import stoatrill.io.SystemCalls;

/** One thread and one selector: turns what the sockets do into events, and carries out the effects. */
public final class EventLoop implements Effects, DiscoveryClient.Peer {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final long MILLI = 1_000_000L;
    private static final int BUFFER = 64 * 1024;
    private static final int BACKLOG = 512;
    /** Bytes that a client may leave unread before nothing more is read from it. */
    private static final long MOST_QUEUED = 512 * 1024;
    /**
     * Bytes read ahead of the commands that wait for their turn. Guards against not seeing that a client has left,
     * which shows only behind all that it sent.
     */
    private static final int READ_AHEAD = 4 * BUFFER;
    /** Events of servers, and commands of clients, between two looks at which clients have left. */
    private static final int MOST_EVENTS = 128, MOST_COMMANDS = 256;
    /** After SIGTERM the front still sends new connections for up to 0.4 s. */
    private static final long ACCEPT_ON = 500 * MILLI;
    /** SIGKILL comes 0.7 s after the longest deadline, which counts as 3 s at most. */
    private static final long MOST_STOP = 3_000 * MILLI;

    private static final long STOP_SLACK = 500 * MILLI;
    /** The part of that time for which clients are served on before their connections are ended. */
    private static final double SERVE_ON = 0.92;
    /** After the last answers clients may take so long to read them and end; a tenth of a second is left then. */
    private static final long LAST_READ = 100 * MILLI;

    /** Looks in a row that must find nothing before the listener, or a resting client, is ended; and their distance. */
    private static final int LOOKS_BEFORE_END = 5;

    private static final long LOOK_AGAIN = MILLI;

    private static final long LINGER = 1_000 * MILLI;
    /** Connections accepted in one turn. */
    private static final int MOST_ACCEPTED = 64;
    /** Clients ended in one turn for those that come: their descriptors are free only after the turn. */
    private static final int MOST_SHED = 8;
    /** Clients turned away that may linger beyond the room there is; out of the reserve. */
    private static final int MOST_LINGERING = 16;
    /** How long a message may take to come whole, a new client to send one, or one be idle when room is short. */
    private static final long CLIENT_IDLE = 2_000 * MILLI;

    private static final long LOOK_AT_CLIENTS = 200 * MILLI;
    /** A client that has said nothing for so long gives way before one that has been served. */
    private static final long MAY_BE_SILENT = 250 * MILLI;
    /** Bytes of unfinished messages that all clients together may have here. */
    private static final long MOST_HELD = 6 << 20;

    private static final long ACCEPT_PAUSE = 100 * MILLI;
    /** After a descriptor was refused, until what was given up for it is surely closed. */
    private static final long OPEN_PAUSE = MILLI;

    private static final long DESCRIPTOR_PAUSE = 10 * MILLI;
    /** How long a limit of descriptors that was found so is held to be true. */
    private static final long LIMIT_KEEPS = 10_000 * MILLI;

    /** How often connections are taken though the selector has not told of any, should it have lost the listener. */
    private static final long LOOK_AT_LISTENER = 50 * MILLI;
    /** How long the loop waits after a system call that failed for want of something. */
    private static final long RESOURCE_PAUSE = MILLI / 5;

    private static final long LONGEST_LOOK = 1_000; // milliseconds
    /** Calls refused a descriptor in a row from which on there really is none. */
    private static final int MOST_REFUSALS = 4;

    /** A change of the wall clock against the monotonic one that is more than its being set right bit by bit. */
    private static final long LEAST_STEP = 50 * MILLI;

    private static final long COUNTS_EVERY = 1_000 * MILLI;
    /** How long a router whose lists are pushed waits for its agent, which answers at once, before it serves. */
    private static final long FIRST_LIST = 500 * MILLI;

    private final Config config;
    private InetSocketAddress filed;
    private InetSocketAddress discoveryAt;
    private final Function<ClientProtocol.Peer, ClientProtocol> clientProtocol;
    private final Function<ServerProtocol.Peer, ServerProtocol> serverProtocol;
    private final Poller poller;
    private final Listener listener;
    private final Clocks clocks;
    private final Deadlines deadlines = new Deadlines();
    private final Reducer reducer;
    private final DiscoveryClient discovery;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER);
    private final Map<Long, ServerLink> servers = new HashMap<>();
    private final Map<Long, ClientLink> clients = new LinkedHashMap<>();
    private final Map<Long, ClientLink> byCancelKey = new HashMap<>();
    private final CancelKeys cancelKeys;
    private final ArrayDeque<Runnable> later = new ArrayDeque<>();
    /** The clients of which bytes came in that may hold a command. */
    private final ArrayDeque<ClientLink> due = new ArrayDeque<>();

    private final DescriptorBudget budget;
    /** Connections to servers that could not be opened yet for want of a descriptor. */
    private final Map<Long, InetSocketAddress> unopened = new LinkedHashMap<>();

    private boolean discoveryUnopened;
    private boolean freesDescriptors;
    private boolean opensSoon;
    private Deadline limitEnds;
    private final Tally tally = LOG.isDebugEnabled() ? new Tally() : null;
    private DiscoveryLink discoveryLink;
    private long clientIds;
    private long heldInAll;
    private final UnreadAnswers unreadAnswers = new UnreadAnswers();
    private boolean ready;
    private volatile boolean stopAsked;
    private volatile Config replacement;
    private Stop stop = Stop.NONE;
    /** Whether the front has surely heard of the end, so that an idle router may go before its time. */
    private boolean stopsIdle;

    private boolean stopped;
    private boolean lacksResource;
    /** Whether clients are taken: not before the first list where lists are pushed. */
    private boolean admits = true;

    private boolean looksAgain;
    private int emptyLooks;
    /** Calls in a row that the system has refused a descriptor. */
    private int refusals;

    /** The course of a graceful shutdown: first all are served on, then connections are ended as they become idle. */
    private enum Stop {
        NONE,
        SERVES_ON,
        DRAINS
    }

    /** Listens already; clients are served by {@link #run}. */
    public EventLoop(
            Config config,
            Function<ClientProtocol.Peer, ClientProtocol> clientProtocol,
            Function<ServerProtocol.Peer, ServerProtocol> serverProtocol)
            throws IOException {
        this(config, clientProtocol, serverProtocol, SystemCalls.PLATFORM);
    }

    /** As the other, with system calls that a test makes fail. */
    EventLoop(
            Config config,
            Function<ClientProtocol.Peer, ClientProtocol> clientProtocol,
            Function<ServerProtocol.Peer, ServerProtocol> serverProtocol,
            SystemCalls calls)
            throws IOException {
        this.config = config;
        this.clientProtocol = clientProtocol;
        this.serverProtocol = serverProtocol;
        LOG.debug(
                "settings {} connect {} ms, idle {} ms, sockets {}",
                config.settings(),
                config.connectTimeout() / MILLI,
                config.connIdle() / MILLI,
                config.sockets());
        this.clocks = new Clocks(wall(), System.nanoTime());
        this.budget = new DescriptorBudget(config.sockets());
        this.reducer = new Reducer(
                this,
                clocks,
                deadlines,
                new Reducer.Setup(
                        config.settings(),
                        config.zones(),
                        config.models(),
                        config.connectTimeout(),
                        config.connIdle(),
                        config.mostHeld(),
                        budget.leastForServers(),
                        config.seed()));
        if (config.contracts() != null) {
            reducer.contracts(now(), config.contracts());
        }
        ServerList known = known(config.known());
        this.filed = config.filed();
        this.discoveryAt = config.discovery();
        this.discovery = new DiscoveryClient(
                this,
                deadlines,
                host(discoveryAt),
                known.version(),
                DiscoveryClient.Timing.of(config.settings(), config.seed()));
        this.cancelKeys = new CancelKeys(new FileReader(calls));
        this.poller = new Poller(calls);
        this.listener = new Listener(calls, poller, config.listen(), BACKLOG);
        reducer.members(now(), Gateway.ListKind.CACHED, known.entries());
        if (config.settings().asked()) {
            ready = !known.entries().isEmpty();
        } else {
            // The module asks for no list where lists are pushed; on sockets they come by a watch on the agent.
            watch(true);
            // Guards the servers that have left since: what the agent has counts as told from the first moment, and
            // clients come at once, since the front may not have seen that a router ended. They wait in the backlog.
            admits = false;
            listener.interest(false);
            deadlines.at(now() + FIRST_LIST, () -> {
                ready(!known.entries().isEmpty());
                admit();
            });
        }
        shareDescriptors();
        compareClocks();
        lookAtClients();
        lookAtListener();
        if (tally != null) {
            logCounts();
        }
    }

    private void logCounts() {
        LOG.debug("{}", tally.take());
        deadlines.at(now() + COUNTS_EVERY, this::logCounts);
    }

    private static ServerList known(String json) {
        if (json != null) {
            try {
                return ServerList.parse(json);
            } catch (ServerList.BadListException e) {
                LOG.warn("the list known at start is of no use: {}", e.getMessage());
            }
        }
        return new ServerList(-1, true, List.of());
    }

    private static long wall() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000L + now.getNano();
    }

    private long now() {
        return clocks.now(System.nanoTime());
    }

    /** Compared in each turn: what peers state by the wall clock is converted by the newest difference. */
    private void compareClocks() {
        long step = clocks.compare(wall(), System.nanoTime());
        if (Math.abs(step) > LEAST_STEP) {
            LOG.warn("the wall clock was stepped by {} ms", step / MILLI);
        }
    }

    /** Runs something once the event or effect at hand has returned. */
    void later(Runnable what) {
        later.add(what);
    }

    /** Runs something after so many nanoseconds. */
    Deadline after(long span, Runnable what) {
        return deadlines.at(now() + span, what);
    }

    /** A system call has failed for want of something: the next turn waits a little, so as not to spin on it. */
    void lacksResource() {
        lacksResource = true;
        count("edge", "no resource");
    }

    /** What was found broken that must hold, and how often; read once {@link #run} has returned. */
    Map<String, Long> brokenInvariants() {
        return reducer.brokenInvariants();
    }

    /** Where clients are listened for, with the port that the system chose if the configuration has none. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Serves until {@link #stop} was called and all that was taken is answered. */
    public void run() {
        LOG.info("{} listens on {}", config.name(), address());
        while (!stopped) {
            guarded(null, this::look);
            guarded(null, this::turn);
        }
        // Guards what was read but waited for its turn: it counts as taken, so it is answered before the end.
        while (!later.isEmpty() || !due.isEmpty()) {
            ClientLink client = later.isEmpty() ? due.poll() : null;
            guarded(client, client == null ? later.poll() : client::proceed);
        }
        LOG.info("stopped; invariants broken: {}", reducer.brokenInvariants());
        listener.close();
        poller.close();
    }

    /** Waits until the next deadline, or until there is something to do. */
    private void look() {
        boolean waits = later.isEmpty() && due.isEmpty() && poller.found().isEmpty();
        long wait = waits ? reducer.settle(now()) - now() : 0;
        if (lacksResource) {
            lacksResource = false;
            LockSupport.parkNanos(RESOURCE_PAUSE);
        }
        Outcome outcome = poller.select(wait > 0 ? Math.min(LONGEST_LOOK, (wait + MILLI - 1) / MILLI) : 0)
                .outcome();
        if (outcome != Outcome.PROGRESS) {
            lacksResource();
        }
    }

    /**
     * Handles one event. Guards all others from a failure of it, whatever it is: it is logged, and ends at most the one
     * connection that it came on. The loop itself ends by {@link #stop} alone.
     */
    void guarded(Link link, Runnable event) {
        try {
            event.run();
        } catch (Throwable e) { // Error too: a class that can't be read, or no memory, ends no other request
            failed(link, e);
        }
    }

    private void failed(Link link, Throwable e) {
        try {
            count("event", "failed");
            LOG.error("an event failed{}", link == null ? "" : "; its connection is ended", e);
            if (link != null) {
                link.abort();
            }
        } catch (Throwable again) {
            later.add(link == null ? () -> {} : link::fail);
        }
    }

    /** Asks for an orderly end; may be called from any thread. */
    public void stop() {
        stopAsked = true;
        poller.wakeUp();
    }

    /** Takes a configuration read anew; may be called from any thread. The newest counts. */
    public void reload(Config anew) {
        replacement = anew;
        poller.wakeUp();
    }

    /**
     * Moves to the address of discovery that the file has come to name, though a variable may have gone before
     * it at the start. All else holds until the next start: requests under way were taken by those settings.
     */
    private void reconfigure() {
        Config anew = replacement;
        if (anew == null) {
            return;
        }
        replacement = null;
        reducer.contracts(now(), anew.contracts());
        InetSocketAddress to = anew.filed();
        boolean moves = to != null && !to.equals(filed) && !to.equals(discoveryAt);
        filed = to;
        LOG.info("configuration read anew; discovery {}", moves ? "moves to " + host(to) : "stays");
        if (!reducer.brokenInvariants().isEmpty()) {
            LOG.error("invariants broken so far: {}", reducer.brokenInvariants());
        }
        if (moves) {
            discoveryAt = to;
            discovery.move(now(), host(to));
            reducer.listMoved(now());
        }
    }

    private static String host(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    /**
     * One look at all sockets. What clients sent is read first, so that nothing more is done for one that has left;
     * then what servers tell, and what has ended, so that the next request is routed by the newest knowledge; then
     * time, and only then the commands.
     */
    private void turn() {
        compareClocks();
        List<Link> others = new ArrayList<>();
        boolean accept = false;
        for (Iterator<SelectionKey> keys = poller.found().iterator(); keys.hasNext(); ) {
            SelectionKey key = keys.next();
            if (key.attachment() instanceof ClientLink client) {
                handle(client);
            } else if (!(key.attachment() instanceof Link link)) {
                accept = true;
            } else if (others.size() < MOST_EVENTS) {
                others.add(link);
            } else {
                continue; // stays selected for the next turn
            }
            keys.remove();
        }
        others.forEach(this::handle);
        guarded(null, () -> reducer.tick(now()));
        long commands = 0;
        for (int n = due.size(); n > 0 && commands < MOST_COMMANDS; n--) {
            ClientLink client = due.poll();
            commands -= client.protocol.commands() - 1;
            guarded(client, client::proceed);
            commands += client.protocol.commands();
        }
        if (accept) {
            guarded(null, this::accept);
        }
        for (int n = later.size(); n > 0; n--) {
            guarded(null, later.poll());
        }
        guarded(null, this::reconfigure);
        if (stopAsked) {
            guarded(null, this::shutDown);
        }
    }

    private void handle(Link link) {
        if (link.open()) {
            guarded(link, () -> link.handle(buffer));
        }
    }

    // ---- Stopping ----

    /** Goes on with a graceful shutdown; called in each turn once one was asked for. */
    private void shutDown() {
        if (stop == Stop.NONE) {
            stop = Stop.SERVES_ON;
            long longest = config.settings().classes().stream()
                    .mapToLong(c -> c.giveUp())
                    .max()
                    .orElse(0);
            // Guards the other routers: clients whose connections end now would all come to them at once.
            long span = Math.min(MOST_STOP, longest) + STOP_SLACK;
            deadlines.at(now() + ACCEPT_ON, () -> stopsIdle = true);
            deadlines.at(now() + (long) (span * SERVE_ON), () -> stop = Stop.DRAINS);
            deadlines.at(now() + span, () -> {
                reducer.failAll(now()); // an upload that takes too long still gets its one answer
                deadlines.at(now() + LAST_READ, () -> stopped = true); // from now: the loop may be late
            });
        }
        boolean idle = clients.isEmpty() && reducer.unanswered() == 0;
        if (stop == Stop.DRAINS || (stopsIdle && idle)) {
            closeListener();
        }
        if (stop == Stop.DRAINS) {
            List.copyOf(clients.values()).forEach(ClientLink::release);
        }
        stopped |= !listener.isOpen() && clients.isEmpty() && reducer.unanswered() == 0;
    }

    /**
     * Takes the connections that wait in the backlog, which its end would reset, and ends it once several looks in a
     * row have found none: one look that finds nothing may be a call that failed.
     */
    private void closeListener() {
        if (!listener.isOpen()) {
            return;
        }
        long before = clientIds;
        accept();
        emptyLooks = before == clientIds && !lacksResource ? emptyLooks + 1 : 0;
        if (emptyLooks >= LOOKS_BEFORE_END) {
            listener.close();
        } else {
            lookAgain();
        }
    }

    /** Makes the loop turn again soon. */
    private void lookAgain() {
        if (!looksAgain) {
            looksAgain = true;
            after(LOOK_AGAIN, () -> looksAgain = false);
        }
    }

    // ---- Clients ----

    private void lookAtListener() {
        after(LOOK_AT_LISTENER, this::lookAtListener);
        if (admits) {
            accept();
        }
    }

    private void accept() {
        int shed = 0;
        for (int n = 0; listener.isOpen() && n < MOST_ACCEPTED && shed < MOST_SHED; n++) {
            Opened<SocketChannel> accepted = listener.accept();
            boolean taken =
                    switch (accepted.outcome()) {
                        case PROGRESS -> true;
                        case NOTHING_NOW, END_OF_STREAM, FATAL, BROKEN -> false;
                        case NO_RESOURCE -> {
                            notAccepted(accepted.why());
                            yield false;
                        }
                    };
            if (!taken) {
                return;
            }
            refusals = 0;
            int most = Math.min(budget.mostForClients(), budget.most() - reducer.serverConnections());
            boolean full = clients.size() >= most;
            boolean room = !full || shed();
            shed += full ? 1 : 0;
            take(accepted.value(), room);
        }
    }

    /** Begins to serve a client that was accepted, or turns it away if there is no room for it. */
    private void take(SocketChannel channel, boolean room) {
        ClientLink client = new ClientLink(clientIds++);
        Opened<Connection> adopted = poller.adopt(channel, client);
        if (adopted.outcome() != Outcome.PROGRESS) {
            LOG.warn("a client that was accepted can't be served: {}", adopted.why());
            count("closed", "not adopted");
            return;
        }
        client.use(adopted.value());
        clients.put(client.id, client);
        byCancelKey.put(client.cancelKey, client);
        shareDescriptors();
        if (!room) {
            client.protocol.turnAway();
            if (clients.size() > budget.mostForClients() + MOST_LINGERING) {
                client.end("no room");
            }
        }
    }

    /** A connection could not be accepted; it waits in the backlog. */
    private void notAccepted(String why) {
        lacksResource();
        count("accept", "failed");
        if (++refusals < MOST_REFUSALS) {
            return; // tried again in the next turn, since the selector goes on telling of it
        }
        refusals = 0;
        LOG.warn("accept failed: {}", why);
        listener.interest(false); // guards against spinning on it
        after(ACCEPT_PAUSE, this::admit);
        if (!poller.hasDescriptor()) {
            freeDescriptors();
        }
    }

    /**
     * A descriptor was refused below the limit that is configured: holds to what could be had, gives up idle
     * connections down to that, and then opens what waits. Nothing is lost by it: a connection that waits counts as
     * one that comes up late.
     */
    private void freeDescriptors() {
        if (freesDescriptors) {
            return;
        }
        freesDescriptors = true;
        later.add(() -> {
            int open = clients.size() + reducer.serverConnections() - unopened.size();
            budget.refusedAt(open);
            shareDescriptors();
            while (clients.size() + reducer.serverConnections() > budget.most() && shed()) {
                // one client more is ended
            }
            LOG.warn("no descriptor is free with {} connections open", open);
            if (limitEnds != null) {
                limitEnds.cancel();
            }
            limitEnds = deadlines.at(now() + LIMIT_KEEPS, () -> {
                budget.restore();
                shareDescriptors();
            });
            deadlines.at(now() + DESCRIPTOR_PAUSE, this::openWhatWaits);
        });
    }

    private void openWhatWaits() {
        opensSoon = false;
        freesDescriptors = false;
        Map<Long, InetSocketAddress> waiting = new LinkedHashMap<>(unopened);
        unopened.clear();
        if (discoveryUnopened) {
            discoveryUnopened = false;
            open();
        }
        waiting.forEach(this::open);
    }

    /** Accepts clients from now on, if the listener is still open. */
    private void admit() {
        admits = true;
        if (listener.isOpen()) {
            listener.interest(true);
        }
    }

    private void shareDescriptors() {
        reducer.serverConnections(now(), budget.forServers(clients.size()));
    }

    /**
     * Closes a client connection to make room: one that never asked anything, else the longest idle; false if all
     * are at work. Guards the warm ones from those that connect by hundreds and say nothing.
     */
    private boolean shed() {
        ClientLink least = null;
        for (ClientLink client : clients.values()) {
            boolean silent = client.protocol.commands() == 0 && now() - client.since > MAY_BE_SILENT;
            if (!client.protocol.busy() && (least == null || silent)) {
                least = client;
                if (silent) {
                    break;
                }
            }
        }
        if (least != null) {
            least.end("shed for a new client");
        }
        return least != null;
    }

    /**
     * Ends the clients that hold a descriptor for nothing. Guards against connects that say nothing, messages that
     * never end, peers that don't read, and clients that keep a connection which they use no more.
     */
    private void lookAtClients() {
        deadlines.at(now() + LOOK_AT_CLIENTS, this::lookAtClients);
        int idleMay = budget.idleClients();
        for (ClientLink client : List.copyOf(clients.values())) {
            if (now() - client.since < CLIENT_IDLE || client.protocol.waiting() > 0) {
                continue;
            }
            if (client.protocol.held() > 0 && !client.closing) {
                client.protocol.expire();
            } else if (client.closing
                    || client.queued() > 0
                    || client.protocol.commands() == 0
                    || clients.size() > idleMay) {
                client.end(client.closing ? "lingered" : "idle");
            }
        }
    }

    private final class ClientLink extends Link implements ClientProtocol.Peer {
        private final long id;
        private final ClientProtocol protocol;
        private boolean closing;
        private boolean half;
        private boolean isDue;
        private int held;
        /** Bytes of answers that are not written yet, as {@link #unreadAnswers} has them. */
        private long unread;

        private final long cancelKey;
        private Deadline linger;
        /** Looks in a row that found nothing while the router stops. */
        private int quietLooks;
        /** When it connected, a message began, a command was read or an answer given; whichever came last. */
        private long since = now();

        ClientLink(long id) {
            super(EventLoop.this);
            this.id = id;
            this.protocol = clientProtocol.apply(this);
            this.cancelKey = cancelKeys.next(byCancelKey::containsKey);
        }

        @Override
        public long cancelKey() {
            return cancelKey;
        }

        @Override
        public void cancel(long key) {
            ClientLink asks = byCancelKey.get(key);
            if (asks != null) {
                asks.proceed(); // what it had sent before it cancelled
                asks.protocol.cancel();
            }
        }

        @Override
        public void takeBack(long slot) {
            reducer.cancelled(now(), id, slot);
        }

        @Override
        public void request(long slot, ClientRequest request) {
            reducer.request(now(), id, slot, request);
        }

        @Override
        public boolean ready() {
            return ready;
        }

        /** Reads to the end of what has come, since behind it may be the client's end. */
        @Override
        void readable(ByteBuffer buffer) {
            boolean more = held == 0 || heldInAll < MOST_HELD;
            if (!more) {
                interest(SelectionKey.OP_READ, false); // not looked at again before others have let go of some
                deadlines.at(now() + LOOK_AT_CLIENTS, this::pace);
            }
            for (int n = 0; more && n < READ_AHEAD / BUFFER && open(); n++) {
                more = read(buffer) == Look.SOMETHING && readsAhead();
            }
        }

        @Override
        void received(ByteBuffer bytes) {
            if (!half && !closing) {
                clients.remove(id); // the longest idle one is the first
                clients.put(id, this);
                since = protocol.held() == 0 ? now() : since;
                protocol.received(bytes);
                account();
                proceedLater();
            }
        }

        /** Reads commands from what has come in. */
        void proceed() {
            isDue = false;
            if (open() && !half && !closing && reads()) {
                long before = protocol.commands();
                protocol.proceed();
                went(protocol.commands() > before);
            }
        }

        void answer(long slot, Answer answer) {
            long before = protocol.isNext(slot) ? queued() : unread; // the next lets those kept behind it out
            boolean kept = !(answer instanceof Answer.Served served)
                    || unreadAnswers.hasRoom(before, served.value().length, clients.size());
            protocol.answer(slot, kept ? answer : new Answer.Failed("the client does not read its answers"));
            went(true);
        }

        @Override
        public void proceedLater() {
            if (!isDue) {
                isDue = true;
                due.add(this);
            }
        }

        /** Keeps the accounts after the protocol has read commands or taken an answer. */
        private void went(boolean on) {
            since = on ? now() : since;
            account();
            if (heldInAll > MOST_HELD && held > BUFFER && !closing && !protocol.congested()) {
                protocol.expire(); // guards memory from many large messages that are not ended
                account();
            }
            pace();
        }

        private void account() {
            heldInAll += protocol.held() - held;
            held = protocol.held();
            long unreadNow = open() ? queued() + protocol.unwritten() : 0;
            unreadAnswers.add(unreadNow - unread);
            unread = unreadNow;
        }

        /** Whether the client reads its answers well enough for more of its commands to be read. */
        private boolean reads() {
            return queued() < MOST_QUEUED && unreadAnswers.hasRoom(queued(), 0, clients.size());
        }

        private boolean readsAhead() {
            return held < READ_AHEAD && heldInAll < MOST_HELD / 2;
        }

        private void pace() {
            boolean goesOn = !protocol.congested() && reads();
            interest(SelectionKey.OP_READ, half || closing || goesOn || readsAhead());
        }

        @Override
        void partlyFlushed() {
            account();
        }

        @Override
        void flushed() {
            account();
            pace();
            if (closing) {
                halfClose();
            } else if (held > 0) {
                proceedLater(); // commands may have waited for the client to read
            }
        }

        /** Called by the protocol: ends the connection once all is out. */
        @Override
        public void close() {
            closing = true;
            if (open() && queued() == 0) {
                halfClose();
            }
        }

        /**
         * Ends sending and reads on until the client ends too. Guards the last answer: closing with bytes unread
         * would reset the connection and could take the answer with it.
         */
        private void halfClose() {
            if (half || !open()) {
                return;
            }
            half = true;
            if (connection().endSending().outcome() == Outcome.PROGRESS) {
                linger = after(LINGER, () -> end("lingered"));
            } else {
                later.add(() -> end("can't be half-closed"));
            }
        }

        /** In the course of stopping: ends the connection if nothing is under way on it. */
        void release() {
            if (half || !open() || protocol.busy()) {
                return;
            }
            // A request may have come in since the last look: it is answered first. One look that finds nothing may be
            // a call that failed, so several must.
            quietLooks = read(buffer) == Look.NOTHING ? quietLooks + 1 : 0;
            if (quietLooks < LOOKS_BEFORE_END) {
                lookAgain();
            } else if (open() && !protocol.busy() && queued() == 0) {
                halfClose();
            }
        }

        void end(String why) {
            if (open()) {
                count("closed", why);
                LOG.debug("client {} is ended: {}", id, why);
                reducer.closes(id);
                shut();
                lost();
            }
        }

        /** A failure in handling it: what it is owed is answered, and then it ends. */
        @Override
        void abort() {
            if (open() && !closing) {
                reducer.clientGone(now(), id);
                protocol.abandon();
            } else {
                fail();
            }
        }

        @Override
        void lost() {
            clients.remove(id);
            byCancelKey.remove(cancelKey);
            shareDescriptors();
            heldInAll -= held;
            held = 0;
            unreadAnswers.add(-unread);
            unread = 0;
            if (linger != null) {
                linger.cancel();
            }
            reducer.clientGone(now(), id);
        }
    }

    @Override
    public void answer(long client, long slot, Answer answer) {
        ClientLink link = clients.get(client);
        if (link != null) {
            link.answer(slot, answer);
        }
    }

    // ---- Servers ----

    private final class ServerLink extends Link implements ServerProtocol.Peer {
        private final long id;
        private final ServerProtocol protocol;
        private boolean asked;

        ServerLink(long id) {
            super(EventLoop.this);
            this.id = id;
            this.protocol = serverProtocol.apply(this);
        }

        @Override
        void connected() {
            write(protocol.greeting());
        }

        void ask(byte[] query) {
            asked = true;
            write(query);
        }

        @Override
        boolean mayWriteLate() {
            boolean may = !asked || reducer.maySend(now(), id, goesOut());
            if (!may) {
                later.add(() -> reducer.unsent(now(), id));
            }
            return may;
        }

        @Override
        void flushed() {
            if (asked) {
                reducer.written(now(), id);
            }
        }

        @Override
        void received(ByteBuffer bytes) {
            protocol.received(bytes);
        }

        @Override
        void lost() {
            servers.remove(id);
            protocol.ended();
        }

        @Override
        public void connectedToServer() {
            reducer.connected(now(), id);
        }

        @Override
        public void answered(ServerAnswer answer, boolean reusable) {
            asked = false;
            reducer.answered(now(), id, answer, reusable);
        }

        @Override
        public void broken(Break how) {
            if (servers.remove(id) != null) {
                shut();
            }
            reducer.broken(now(), id, how);
        }
    }

    @Override
    public void open(long connection, InetSocketAddress endpoint) {
        ServerLink link = new ServerLink(connection);
        Opened<Connection> opened = poller.connect(endpoint, link);
        switch (opened.outcome()) {
            case PROGRESS -> {
                refusals = 0;
                count("connection", "server");
                link.use(opened.value());
                servers.put(connection, link);
                if (opened.value().upAtOnce()) {
                    later.add(() -> link.up());
                }
            }
            case NO_RESOURCE -> {
                unopened.put(connection, endpoint);
                notOpened(opened.why());
            }
            case NOTHING_NOW, END_OF_STREAM, BROKEN, FATAL -> {
                count("connection", "failed at once");
                later.add(() -> reducer.broken(now(), connection, Break.ENDED));
            }
        }
    }

    /** A descriptor was refused: once may be a call that failed, which is made again; several times is a limit. */
    private void notOpened(String why) {
        count("open", "refused");
        if (++refusals < MOST_REFUSALS) {
            if (!opensSoon) {
                opensSoon = true;
                after(OPEN_PAUSE, this::openWhatWaits);
            }
            return;
        }
        LOG.debug("no descriptor: {}", why);
        refusals = 0;
        freeDescriptors();
    }

    @Override
    public boolean quiet(long connection) {
        ServerLink link = servers.get(connection);
        return link != null && link.quiet();
    }

    @Override
    public void query(long connection, Statement statement, long waitMillis) {
        ServerLink link = servers.get(connection);
        if (link == null) {
            return;
        }
        if (reducer.maySend(now(), connection, false)) {
            link.ask(link.protocol.query(statement, waitMillis));
        } else {
            later.add(() -> reducer.unsent(now(), connection));
        }
    }

    @Override
    public void probe(long connection) {
        ServerLink link = servers.get(connection);
        if (link != null) {
            link.ask(link.protocol.probe());
        }
    }

    @Override
    public void close(long connection) {
        unopened.remove(connection);
        ServerLink link = servers.remove(connection);
        if (link != null) {
            link.shut();
        }
    }

    // ---- Discovery ----

    private final class DiscoveryLink extends Link {
        DiscoveryLink() {
            super(EventLoop.this);
        }

        @Override
        void connected() {
            discovery.connected(now());
        }

        @Override
        void received(ByteBuffer bytes) {
            discovery.received(now(), bytes);
        }

        @Override
        void lost() {
            if (discoveryLink == this) {
                discoveryLink = null;
                if (endedInOrder()) {
                    discovery.ended(now());
                } else {
                    discovery.broken(now());
                }
            }
        }
    }

    @Override
    public void open() {
        DiscoveryLink link = new DiscoveryLink();
        Opened<Connection> opened = poller.connect(discoveryAt, link);
        switch (opened.outcome()) {
            case PROGRESS -> {
                link.use(opened.value());
                discoveryLink = link;
                if (opened.value().upAtOnce()) {
                    later.add(() -> link.up());
                }
            }
            case NO_RESOURCE -> {
                discoveryUnopened = true;
                notOpened(opened.why());
            }
            case NOTHING_NOW, END_OF_STREAM, BROKEN, FATAL -> later.add(() -> discovery.broken(now()));
        }
    }

    @Override
    public void send(byte[] request) {
        count("list", "call");
        DiscoveryLink link = discoveryLink;
        if (link != null) {
            link.write(request);
        }
    }

    @Override
    public void close() {
        discoveryUnopened = false;
        DiscoveryLink link = discoveryLink;
        discoveryLink = null;
        if (link != null) {
            link.shut();
        }
    }

    @Override
    public void members(long now, Gateway.ListKind kind, List<ServerEntry> entries) {
        count("list", kind.name());
        reducer.members(now, kind, entries);
        ready(kind != Gateway.ListKind.FAILED && kind != Gateway.ListKind.SILENT);
    }

    /** Says to who asked that the router serves from now on, if it has a list. */
    private void ready(boolean listed) {
        if (!ready && listed) {
            ready = true;
            admit();
            List.copyOf(clients.values()).forEach(c -> c.protocol.ready());
        }
    }

    @Override
    public void watch(boolean on) {
        later.add(() -> discovery.follow(now(), on));
    }

    @Override
    public void fetch() {
        later.add(() -> discovery.fetch(now()));
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    @Override
    public boolean traces() {
        return tally != null;
    }

    @Override
    public void trace(String request, String event, String why) {
        LOG.debug("request {} {} {}", request, event, why);
    }

    @Override
    public void count(String what, String why) {
        if (tally != null) {
            tally.add(what, why);
        }
    }
}
