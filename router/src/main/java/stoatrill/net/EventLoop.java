package stoatrill.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Instant;
import java.util.ArrayDeque;
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
import stoatrill.core.ClientRequest;
import stoatrill.core.Clocks;
import stoatrill.core.DeadlineQueue;
import stoatrill.core.DeadlineQueue.Deadline;
import stoatrill.core.DisconnectCause;
import stoatrill.core.Effects;
import stoatrill.core.EventCounts;
import stoatrill.core.Reducer;
import stoatrill.core.ServerEntry;
import stoatrill.core.Statement;
import stoatrill.discovery.DiscoveryClient;
import stoatrill.discovery.ServerList;
import stoatrill.io.CallResult;
import stoatrill.io.Connection;
import stoatrill.io.FileReader;
import stoatrill.io.Listener;
import stoatrill.io.Outcome;
import stoatrill.io.Poller;
import stoatrill.io.SystemCalls;

/**
 * The router's event loop: one thread and one selector. It turns socket activity into events for the {@link Reducer}
 * and carries out the {@link Effects} that the reducer asks for. Everything runs in the thread that calls {@link #run};
 * only {@link #stop} and {@link #reload} may be called from any thread.
 */
public final class EventLoop implements Effects, DiscoveryClient.Environment {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int BACKLOG_LIMIT = 512;
    /** While a client has at least this many bytes of queued output, no further command of it is read. */
    private static final long QUEUED_LIMIT_BYTES = 512 * 1024;
    /** After so many bytes from one client, an iteration reads the next one. */
    private static final long CLIENT_READ_QUANTUM_BYTES = 64 * 1024;
    /** Replies that may wait for an answer before them; a client that sends further commands then is ended. */
    private static final int WAITING_REPLY_LIMIT = 4096;
    /** Server events that one iteration handles, so that the loop soon looks again for clients that have left. */
    private static final int SERVER_EVENT_LIMIT = 128;
    /** What one iteration charges for clients' messages, for the same reason. */
    private static final long TURN_WORK_LIMIT_BYTES = 8 * TurnAccount.QUANTUM_BYTES;
    /** What looking at a client costs that has no message to handle. */
    private static final long LEAST_VISIT_COST_BYTES = 256;
    /** Bytes that one iteration reads from all clients, and from all servers. */
    private static final long TURN_READ_LIMIT_BYTES = 1 << 20;
    /** After SIGTERM the load balancer in front still sends new connections for up to 0.4 s. */
    private static final long ACCEPT_DURING_STOP_NANOS = 500 * NANOS_PER_MILLI;
    /** SIGKILL follows SIGTERM after the longest client timeout, counted as at most 3 s, plus 0.7 s. */
    private static final long STOP_DEADLINE_LIMIT_NANOS = 3_000 * NANOS_PER_MILLI;

    private static final long STOP_SLACK_NANOS = 500 * NANOS_PER_MILLI;
    /** The share of the shutdown time for which clients are still served before their connections are closed. */
    private static final double SERVING_SHARE = 0.92;
    /** How long clients may take to read the last answers and close; 0.1 s remains before SIGKILL after that. */
    private static final long LAST_READ_NANOS = 100 * NANOS_PER_MILLI;

    /** For how long commands that were read are still refused at the very end; the process has 0.1 s to end. */
    private static final long LAST_WORK_NANOS = 10 * NANOS_PER_MILLI;

    /** Consecutive checks that must find nothing before the listener or an idle client is closed. */
    private static final int EMPTY_CHECK_COUNT = 5;

    /** Interval between these checks. */
    private static final long RECHECK_NANOS = NANOS_PER_MILLI;

    /** How long a half-closed connection waits for the client to close its side. */
    private static final long LINGER_NANOS = 1_000 * NANOS_PER_MILLI;
    /** Connections accepted in one iteration. */
    private static final int ACCEPT_LIMIT = 64;
    /** Clients closed in one iteration to make room for new ones; their descriptors become free only afterwards. */
    private static final int SHED_LIMIT = 8;
    /** Rejected clients that may linger beyond the client limit; their descriptors come out of the reserve. */
    private static final int LINGERING_CLIENT_LIMIT = 16;
    /**
     * How long a message may take to arrive completely, a new client may take to send its first command, and a client
     * may be idle while descriptors are short.
     */
    private static final long CLIENT_IDLE_NANOS = 2_000 * NANOS_PER_MILLI;

    private static final long CLIENT_CHECK_INTERVAL_NANOS = 200 * NANOS_PER_MILLI;
    /** A client that has never sent a command and is inactive for longer than this is the first one closed for room. */
    private static final long SILENT_CLIENT_GRACE_NANOS = 250 * NANOS_PER_MILLI;

    private static final long ACCEPT_RETRY_NANOS = 100 * NANOS_PER_MILLI;
    /** Delay before a retry after a refused descriptor; connections given up to free one are closed by then. */
    private static final long OPEN_RETRY_NANOS = NANOS_PER_MILLI;

    /** Delay after idle clients were closed for lack of descriptors, before pending connections are opened. */
    private static final long DESCRIPTOR_RETRY_NANOS = 10 * NANOS_PER_MILLI;
    /** How long a descriptor limit that was observed is assumed to hold. */
    private static final long OBSERVED_LIMIT_NANOS = 10_000 * NANOS_PER_MILLI;

    /** How often the loop accepts without an event from the selector, which may no longer report the listener. */
    private static final long ACCEPT_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;
    /** How long the loop pauses after a system call that failed for lack of a resource. */
    private static final long RESOURCE_PAUSE_NANOS = NANOS_PER_MILLI / 5;

    private static final long SELECT_LIMIT_MILLIS = 1_000;
    /** Consecutive calls that must be refused a descriptor before the router concludes that none is free. */
    private static final int REFUSAL_LIMIT = 4;

    /** Lines of one kind in an interval of the limits' report, which counts all events. */
    private static final int LOG_LINE_LIMIT_COUNT = 10;

    /** Lines on servers and decisions in such an interval: each of 3,200 servers may change once. */
    private static final int STATE_LINE_LIMIT_COUNT = 4096;

    private static final long LIMIT_REPORT_INTERVAL_NANOS = 10_000 * NANOS_PER_MILLI;
    private static final long COUNTS_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;
    /** How long a router with pushed lists waits for its agent, which answers at once, before it serves clients. */
    private static final long FIRST_LIST_WAIT_NANOS = 500 * NANOS_PER_MILLI;

    private final Config config;
    private InetSocketAddress fileDiscoveryAddress;
    private InetSocketAddress discoveryAddress;
    private final Function<ClientProtocol.Environment, ClientProtocol> clientProtocolFactory;
    private final Function<ServerProtocol.Environment, ServerProtocol> serverProtocolFactory;
    private final Poller poller;
    private final Listener listener;
    private final Clocks clocks;
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private final Reducer reducer;
    private final DiscoveryClient discoveryClient;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    /** Open connections to servers, by connection id. */
    private final Map<Long, ServerLink> servers = new HashMap<>();
    /** Open client connections by id, the least recently active first. */
    private final Map<Long, ClientLink> clients = new LinkedHashMap<>();

    private final Map<Long, ClientLink> clientsByCancelKey = new HashMap<>();
    private final CancelKeys cancelKeys;
    /** Tasks that run once the event or effect at hand has returned. */
    private final ArrayDeque<Runnable> deferredTasks = new ArrayDeque<>();
    /** The first of the connections to be closed at the end of this iteration, linked by their own fields. */
    private Link firstFailedLink;
    /** Clients that can be read, the one that has waited longest first. */
    private final ArrayDeque<ClientLink> readableClients = new ArrayDeque<>();
    /** Servers that the selector has found, the one that has waited longest first. */
    private final ArrayDeque<ServerLink> readyServers = new ArrayDeque<>();
    /** Clients whose received bytes may contain a command. */
    private final ArrayDeque<ClientLink> dueClients = new ArrayDeque<>();
    /** Connections with output that leaves once the step at hand is done. */
    private final ArrayDeque<Link> linksToFlush = new ArrayDeque<>();
    /** The number of this iteration. */
    private long turn;
    /** Bytes read from clients so far. */
    private long readBytes;
    /** Bytes read from servers in this iteration. */
    private long serverReadBytes;

    private final DescriptorBudget descriptorBudget;
    /** Endpoints of server connections that could not be opened yet for lack of a descriptor, by connection id. */
    private final Map<Long, InetSocketAddress> unopenedServers = new LinkedHashMap<>();

    private boolean discoveryOpenPending;
    private boolean descriptorReleasePending;
    private boolean openRetryPending;
    private Deadline observedLimitExpiry;
    /** Null unless debug logging is enabled. */
    private final EventCounts eventCounts = LOG.isDebugEnabled() ? new EventCounts() : null;

    private DiscoveryLink discoveryLink;
    private long nextClientId;
    private final LimitReport limitReport = new LimitReport();
    private final LogThrottle failureLines = new LogThrottle(LOG_LINE_LIMIT_COUNT, LIMIT_REPORT_INTERVAL_NANOS);
    private final LogThrottle stateLines = new LogThrottle(STATE_LINE_LIMIT_COUNT, LIMIT_REPORT_INTERVAL_NANOS);
    private final SurplusDataLog surplusDataLog = new SurplusDataLog(
            cause -> count("surplus", cause), new LogThrottle(LOG_LINE_LIMIT_COUNT, LIMIT_REPORT_INTERVAL_NANOS));
    private final LogThrottle shortageLines = new LogThrottle(LOG_LINE_LIMIT_COUNT, LIMIT_REPORT_INTERVAL_NANOS);
    private final InputBudget inputBudget = new InputBudget();
    private final UnreadAnswers unreadAnswers = new UnreadAnswers();
    private boolean isReady;
    private volatile boolean stopRequested;
    private volatile Config pendingConfig;
    private StopPhase stopPhase = StopPhase.NONE;
    /** Whether the load balancer has certainly learnt of the shutdown, so that an idle router may stop early. */
    private boolean mayStopWhenIdle;

    private boolean isStopped;
    private boolean hasResourceShortage;
    /** Whether clients are accepted; with pushed lists, only from the first list or the end of the wait for it on. */
    private boolean admitsClients = true;

    private boolean recheckPending;
    private int emptyAcceptChecks;
    /** Consecutive calls that were refused a descriptor. */
    private int consecutiveRefusals;

    /** Phases of a graceful shutdown: clients are still served first, then their connections are closed once idle. */
    private enum StopPhase {
        NONE,
        SERVING,
        DRAINING
    }

    /**
     * Opens the listener; clients are served by {@link #run}.
     *
     * @throws IOException if the selector or the listener can't be opened
     */
    public EventLoop(
            Config config,
            Function<ClientProtocol.Environment, ClientProtocol> clientProtocolFactory,
            Function<ServerProtocol.Environment, ServerProtocol> serverProtocolFactory)
            throws IOException {
        this(config, clientProtocolFactory, serverProtocolFactory, SystemCalls.PLATFORM);
    }

    /** Creates a loop with the given system calls, so that tests can make them fail. */
    EventLoop(
            Config config,
            Function<ClientProtocol.Environment, ClientProtocol> clientProtocolFactory,
            Function<ServerProtocol.Environment, ServerProtocol> serverProtocolFactory,
            SystemCalls systemCalls)
            throws IOException {
        this.config = config;
        this.clientProtocolFactory = clientProtocolFactory;
        this.serverProtocolFactory = serverProtocolFactory;
        LOG.debug(
                "settings {} connect {} ms, idle {} ms, sockets {}",
                config.settings(),
                config.connectTimeoutNanos() / NANOS_PER_MILLI,
                config.idleTimeoutNanos() / NANOS_PER_MILLI,
                config.socketLimit());
        this.clocks = new Clocks(wallClockNanos(), System.nanoTime());
        this.descriptorBudget = new DescriptorBudget(config.socketLimit());
        this.reducer = new Reducer(
                this, clocks, deadlines, config.reducerSetup(descriptorBudget.guaranteedServers(), config.seed()));
        if (config.contracts() != null) {
            reducer.applyContracts(now(), config.contracts());
        }
        ServerList knownList = parseKnownList(config.knownServerList());
        this.fileDiscoveryAddress = config.discoveryInFile();
        this.discoveryAddress = config.discoveryAddress();
        this.discoveryClient = new DiscoveryClient(
                this,
                deadlines,
                hostAndPort(discoveryAddress),
                knownList.version(),
                DiscoveryClient.Timing.of(config.settings(), config.seed()));
        this.cancelKeys = new CancelKeys(new FileReader(systemCalls));
        this.poller = new Poller(systemCalls);
        this.listener = new Listener(systemCalls, poller, config.listenAddress(), BACKLOG_LIMIT);
        reducer.onServerList(now(), Gateway.ListKind.CACHED, knownList.entries());
        if (config.settings().listOnRequest()) {
            isReady = !knownList.entries().isEmpty();
        } else {
            // With pushed lists the module requests none; over sockets they arrive through a watch on the agent.
            watchServerList(true);
            // Servers of the known list may have left since it was written. The router must not use them if the agent
            // already knows that they have left. Clients connect at once, since the load balancer may not have noticed
            // the restart. They wait in the backlog for the first list, but no longer than FIRST_LIST_WAIT_NANOS.
            admitsClients = false;
            listener.setAccepting(false);
            deadlines.schedule(now() + FIRST_LIST_WAIT_NANOS, () -> {
                updateReadiness(!knownList.entries().isEmpty());
                startAccepting();
            });
        }
        shareDescriptors();
        compareClocks();
        checkClients();
        acceptPeriodically();
        deadlines.schedule(now() + LIMIT_REPORT_INTERVAL_NANOS, this::logLimits);
        if (eventCounts != null) {
            logCounts();
        }
    }

    /** Logs one line an interval if clients met a limit, however often they did. */
    private void logLimits() {
        deadlines.schedule(now() + LIMIT_REPORT_INTERVAL_NANOS, this::logLimits);
        clients.values().forEach(client -> limitReport.offer(client.takeCost()));
        String line = limitReport.takeLine();
        if (line != null) {
            LOG.info(
                    "limits met by clients in the last {} s: {}", LIMIT_REPORT_INTERVAL_NANOS / NANOS_PER_SECOND, line);
        }
    }

    private void logCounts() {
        LOG.debug("{}", eventCounts.takeSummary());
        deadlines.schedule(now() + COUNTS_INTERVAL_NANOS, this::logCounts);
    }

    private static ServerList parseKnownList(String json) {
        if (json != null) {
            try {
                return ServerList.parse(json);
            } catch (ServerList.InvalidListException e) {
                LOG.warn("ignoring the server list given at start: {}", e.getMessage());
            }
        }
        return new ServerList(-1, true, List.of());
    }

    private static long wallClockNanos() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1_000_000_000L + now.getNano();
    }

    /** The time on the reducer's clock, in nanoseconds. */
    long now() {
        return clocks.toModuleTime(System.nanoTime());
    }

    /** Called in each iteration, so that wall-clock times of peers are converted with the newest clock difference. */
    private void compareClocks() {
        long stepNanos = clocks.resync(wallClockNanos(), System.nanoTime());
        if (Math.abs(stepNanos) > Clocks.STEP_NANOS) {
            LOG.warn("the wall clock was stepped by {} ms", stepNanos / NANOS_PER_MILLI);
        }
    }

    /** Runs a task after a delay in nanoseconds. */
    Deadline scheduleAfter(long delayNanos, Runnable task) {
        return deadlines.schedule(now() + delayNanos, task);
    }

    /** Records that a system call failed for lack of a resource; the next iteration pauses so as not to spin on it. */
    void noteResourceShortage() {
        hasResourceShortage = true;
        count("edge", "no resource");
    }

    /** Invariants that were found broken, with their counts; to be read once {@link #run} has returned. */
    Map<String, Long> brokenInvariants() {
        return reducer.brokenInvariants();
    }

    /** The address of the listener, with the port that the system chose if the configuration has none. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Serves until {@link #stop} has been called and every request taken has been answered. */
    public void run() {
        LOG.info("{} listens on {}", config.name(), address());
        // Created once: when memory is short, creating them in the loop could fail outside the guard.
        Runnable selection = this::selectEvents;
        Runnable processing = this::processEvents;
        Runnable nextRemainingWork = this::processRemainingWork;
        while (!isStopped) {
            runGuarded(null, selection);
            runGuarded(null, processing);
        }
        long endBy = System.nanoTime() + LAST_WORK_NANOS;
        while ((!deferredTasks.isEmpty() || !dueClients.isEmpty()) && System.nanoTime() < endBy) {
            turn++;
            runGuarded(null, nextRemainingWork);
        }
        flushLinks();
        LOG.info("stopped; invariants broken: {}", reducer.brokenInvariants());
        listener.close();
        poller.close();
    }

    /** Commands that were read but not yet handled count as taken, so they are answered before the loop ends. */
    private void processRemainingWork() {
        if (deferredTasks.isEmpty()) {
            handleCommands(dueClients.poll());
        } else {
            deferredTasks.poll().run();
        }
    }

    /** Waits for socket events, at most until the next deadline; does not wait if work is pending. */
    private void selectEvents() {
        boolean mayWait = deferredTasks.isEmpty()
                && dueClients.isEmpty()
                && readableClients.isEmpty()
                && readyServers.isEmpty()
                && firstFailedLink == null
                && poller.selectedKeys().isEmpty();
        long waitNanos = mayWait ? reducer.openDeferredConnections(now()) - now() : 0;
        if (hasResourceShortage) {
            hasResourceShortage = false;
            LockSupport.parkNanos(RESOURCE_PAUSE_NANOS);
        }
        Outcome outcome = poller.select(
                        waitNanos > 0
                                ? Math.min(SELECT_LIMIT_MILLIS, (waitNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI)
                                : 0)
                .outcome();
        if (outcome != Outcome.PROGRESS) {
            noteResourceShortage();
        }
    }

    /**
     * Handles one event. A failure of any kind is logged and closes at most the connection that the event came from, so
     * that other connections are not affected. The loop itself ends only by {@link #stop}.
     *
     * @param link the connection that the event came from; null if none
     */
    void runGuarded(Link link, Runnable event) {
        try {
            event.run();
        } catch (Throwable e) { // also Error: a missing class or lack of memory must end no other request
            handleFailure(link, e);
        }
    }

    private void handleFailure(Link link, Throwable e) {
        try {
            count("event", "failed");
            if (failureLines.permits(System.nanoTime())) {
                LOG.error("event handler failed{}", link == null ? "" : "; closing its connection", e);
            }
            if (link != null) {
                link.abort();
            }
        } catch (Throwable secondFailure) {
            // Takes no memory, since the lack of it may be the failure. Nothing more can be done without a connection.
            if (link != null) {
                closeLater(link);
            }
        }
    }

    /** Closes a connection that has failed at the end of this iteration. Takes no memory. */
    void closeLater(Link link) {
        if (link.markFailed()) {
            link.nextFailed = firstFailedLink;
            firstFailedLink = link;
        }
    }

    private void closeFailedLinks() {
        while (firstFailedLink != null) {
            Link link = firstFailedLink;
            firstFailedLink = link.nextFailed;
            link.fail();
        }
    }

    /** Requests a graceful shutdown; may be called from any thread. */
    public void stop() {
        stopRequested = true;
        poller.wakeUp();
    }

    /** Submits a reloaded configuration; may be called from any thread. The newest one wins. */
    public void reload(Config newConfig) {
        pendingConfig = newConfig;
        poller.wakeUp();
    }

    /**
     * Applies the contracts of a reloaded configuration. Also moves to the discovery address in the file if that has
     * changed, even if an environment variable took precedence over the file at the start. All other settings stay
     * until the next start, since requests in progress were accepted under them.
     */
    private void applyPendingConfig() {
        Config newConfig = pendingConfig;
        if (newConfig == null) {
            return;
        }
        pendingConfig = null;
        reducer.applyContracts(now(), newConfig.contracts());
        InetSocketAddress newAddress = newConfig.discoveryInFile();
        boolean hasMoved =
                newAddress != null && !newAddress.equals(fileDiscoveryAddress) && !newAddress.equals(discoveryAddress);
        fileDiscoveryAddress = newAddress;
        LOG.info("configuration read anew; discovery {}", hasMoved ? "moves to " + hostAndPort(newAddress) : "stays");
        if (!reducer.brokenInvariants().isEmpty()) {
            LOG.error("invariants broken so far: {}", reducer.brokenInvariants());
        }
        if (hasMoved) {
            discoveryAddress = newAddress;
            discoveryClient.changeHost(now(), hostAndPort(newAddress));
            reducer.onDiscoveryMoved(now());
        }
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Handles what the selector has found. Client input is read first, so that nothing more is done for a client that
     * has left; then server input and closed connections, so that the next request is routed by the newest state; then
     * timers, and only then client commands.
     */
    private void processEvents() {
        turn++;
        compareClocks();
        boolean canAccept = takeSelectedKeys();
        readClients();
        handleServers();
        runGuarded(null, () -> reducer.runDueDeadlines(now()));
        flushLinks();
        handleDueClients();
        runGuarded(null, this::limitInput);
        if (canAccept) {
            runGuarded(null, this::acceptClients);
        }
        for (int n = deferredTasks.size(); n > 0; n--) {
            runGuarded(null, deferredTasks.poll());
        }
        flushLinks();
        runGuarded(null, this::closeFailedLinks);
        runGuarded(null, this::applyPendingConfig);
        if (stopRequested) {
            runGuarded(null, this::advanceShutdown);
        }
    }

    /** Queues the connections that the selector has found; returns whether a connection can be accepted. */
    private boolean takeSelectedKeys() {
        boolean canAccept = false;
        for (Iterator<SelectionKey> keys = poller.selectedKeys().iterator(); keys.hasNext(); ) {
            SelectionKey key = keys.next();
            keys.remove();
            if (key.attachment() instanceof Link link) {
                link.scheduleEvents();
            } else {
                canAccept = true;
            }
        }
        return canAccept;
    }

    /**
     * Handles discovery and the servers that have waited longest, a limited number of them and of bytes; the others
     * wait for the next iteration.
     */
    private void handleServers() {
        if (discoveryLink != null && discoveryLink.isEventScheduled) {
            discoveryLink.isEventScheduled = false;
            handle(discoveryLink);
        }
        serverReadBytes = 0;
        int limit = Math.min(readyServers.size(), SERVER_EVENT_LIMIT);
        for (int n = 0; n < limit && serverReadBytes < TURN_READ_LIMIT_BYTES; n++) {
            ServerLink server = readyServers.poll();
            server.isEventScheduled = false;
            handle(server);
        }
    }

    /** Reads the clients that have waited longest, up to a total of bytes; the others wait for the next iteration. */
    private void readClients() {
        long limit = readBytes + TURN_READ_LIMIT_BYTES;
        for (int n = readableClients.size(); n > 0 && readBytes < limit; n--) {
            ClientLink client = readableClients.poll();
            client.isEventScheduled = false;
            handle(client);
        }
    }

    /** Handles the commands of the clients that have waited longest, up to a total of work. */
    private void handleDueClients() {
        long work = 0;
        for (int n = dueClients.size(); n > 0 && work < TURN_WORK_LIMIT_BYTES; n--) {
            ClientLink client = dueClients.poll();
            long workBefore = client.turn().chargedBytes();
            handleCommands(client);
            work += client.turn().chargedBytes() - workBefore + LEAST_VISIT_COST_BYTES;
        }
    }

    /** Requests that output queued by a connection in this step is written at the end of the step. */
    void flushLater(Link link) {
        linksToFlush.add(link);
    }

    /** Writes what connections have queued in this step. */
    private void flushLinks() {
        Link link;
        while ((link = linksToFlush.poll()) != null) {
            try {
                link.flushTurn();
            } catch (Throwable e) { // as in runGuarded, which would need memory for its argument
                handleFailure(link, e);
            }
        }
    }

    /**
     * Makes room if all clients together keep too much input: refuses commands that wait, then ends the clients that
     * keep most of an incomplete message or leave their answers unread.
     */
    private void limitInput() {
        if (inputBudget.isExhausted()) {
            List.copyOf(clients.values()).forEach(ClientLink::refuseExcessCommands);
        }
        while (inputBudget.isExhausted()) {
            ClientLink largest = null;
            for (ClientLink client : clients.values()) {
                boolean isLarger = largest == null || client.account.unparsedBytes() > largest.account.unparsedBytes();
                boolean keepsWithoutUse = client.keepsIncompleteMessage() || !client.readsItsAnswers();
                largest = isLarger && client.account.unparsedBytes() > 0 && keepsWithoutUse ? client : largest;
            }
            if (largest == null) {
                return;
            }
            count("closed", "kept too much input");
            largest.expire();
        }
    }

    private void handle(Link link) {
        if (link.isOpen()) {
            try {
                link.handleSelected(readBuffer);
            } catch (Throwable e) { // as in runGuarded, which would need memory for its argument
                handleFailure(link, e);
            }
        }
    }

    private void handleCommands(ClientLink client) {
        try {
            client.readCommands();
        } catch (Throwable e) { // as in runGuarded, which would need memory for its argument
            handleFailure(client, e);
        }
    }

    // ---- Shutdown ----

    /** Advances a graceful shutdown; called in each iteration once one has been requested. */
    private void advanceShutdown() {
        if (stopPhase == StopPhase.NONE) {
            stopPhase = StopPhase.SERVING;
            long longestGiveUpNanos = config.settings().classes().stream()
                    .mapToLong(c -> c.clientTimeout())
                    .max()
                    .orElse(0);
            // Clients are still served for a while: closing all connections now would send every client to the other
            // routers at once.
            long shutdownNanos = Math.min(STOP_DEADLINE_LIMIT_NANOS, longestGiveUpNanos) + STOP_SLACK_NANOS;
            LOG.info(
                    "shutdown: {} clients, {} requests open, serving for {} ms and ending within {} ms",
                    clients.size(),
                    reducer.unansweredCount(),
                    (long) (shutdownNanos * SERVING_SHARE) / NANOS_PER_MILLI,
                    (shutdownNanos + LAST_READ_NANOS) / NANOS_PER_MILLI);
            deadlines.schedule(now() + ACCEPT_DURING_STOP_NANOS, () -> mayStopWhenIdle = true);
            deadlines.schedule(now() + (long) (shutdownNanos * SERVING_SHARE), () -> stopPhase = StopPhase.DRAINING);
            deadlines.schedule(now() + shutdownNanos, () -> {
                reducer.failAllRequests(now()); // a writing statement that takes too long still gets exactly one answer
                deadlines.schedule(
                        now() + LAST_READ_NANOS, () -> isStopped = true); // counted from now, as the loop may run late
            });
        }
        boolean isIdle = clients.isEmpty() && reducer.unansweredCount() == 0;
        if (stopPhase == StopPhase.DRAINING || (mayStopWhenIdle && isIdle)) {
            drainBacklog();
        }
        if (stopPhase == StopPhase.DRAINING) {
            List.copyOf(clients.values()).forEach(ClientLink::closeIfIdle);
        }
        isStopped |= !listener.isOpen() && clients.isEmpty() && reducer.unansweredCount() == 0;
    }

    /**
     * Accepts the connections that wait in the backlog, since closing the listener would reset them. The listener is
     * closed once several consecutive checks have found none: a single empty check may be a call that failed.
     */
    private void drainBacklog() {
        if (!listener.isOpen()) {
            return;
        }
        long firstNewId = nextClientId;
        acceptClients();
        emptyAcceptChecks = firstNewId == nextClientId && !hasResourceShortage ? emptyAcceptChecks + 1 : 0;
        if (emptyAcceptChecks >= EMPTY_CHECK_COUNT) {
            listener.close();
        } else {
            scheduleRecheck();
        }
    }

    /** Makes the loop run another iteration soon. */
    private void scheduleRecheck() {
        if (!recheckPending) {
            recheckPending = true;
            scheduleAfter(RECHECK_NANOS, () -> recheckPending = false);
        }
    }

    // ---- Clients ----

    private void acceptPeriodically() {
        scheduleAfter(ACCEPT_INTERVAL_NANOS, this::acceptPeriodically);
        if (admitsClients) {
            acceptClients();
        }
    }

    private void acceptClients() {
        int shedCount = 0;
        for (int n = 0; listener.isOpen() && n < ACCEPT_LIMIT && shedCount < SHED_LIMIT; n++) {
            CallResult<SocketChannel> accepted = listener.accept();
            boolean isAccepted =
                    switch (accepted.outcome()) {
                        case PROGRESS -> true;
                        case WOULD_BLOCK, END_OF_STREAM, PERMANENT_FAILURE, BROKEN -> false;
                        case TEMPORARY_FAILURE -> {
                            handleAcceptFailure(accepted.reason());
                            yield false;
                        }
                    };
            if (!isAccepted) {
                return;
            }
            consecutiveRefusals = 0;
            int clientLimit = Math.min(
                    descriptorBudget.clientLimit(),
                    descriptorBudget.connectionLimit() - reducer.serverConnectionCount());
            boolean isFull = clients.size() >= clientLimit;
            boolean hasRoom = !isFull || shedIdleClient();
            shedCount += isFull ? 1 : 0;
            addClient(accepted.value(), hasRoom);
        }
    }

    /** Begins to serve an accepted client, or rejects it if there is no room for it. */
    private void addClient(SocketChannel channel, boolean hasRoom) {
        ClientLink client = new ClientLink(nextClientId++);
        CallResult<Connection> adopted = poller.adopt(channel, client);
        if (adopted.outcome() != Outcome.PROGRESS) {
            if (shortageLines.permits(System.nanoTime())) {
                LOG.warn("failed to register an accepted client connection: {}", adopted.reason());
            }
            count("closed", "not adopted");
            return;
        }
        client.attach(adopted.value());
        clients.put(client.id, client);
        clientsByCancelKey.put(client.cancelKey, client);
        shareDescriptors();
        if (!hasRoom) {
            client.protocol.reject("too many connections");
            if (clients.size() > descriptorBudget.clientLimit() + LINGERING_CLIENT_LIMIT) {
                client.terminate("no room");
            }
        }
    }

    /** Handles a failed accept; the connection stays in the backlog. */
    private void handleAcceptFailure(String reason) {
        noteResourceShortage();
        count("accept", "failed");
        if (++consecutiveRefusals < REFUSAL_LIMIT) {
            return; // retried in the next iteration, since the selector keeps reporting it
        }
        consecutiveRefusals = 0;
        if (shortageLines.permits(System.nanoTime())) {
            LOG.warn("accept failed: {}", reason);
        }
        listener.setAccepting(false); // otherwise the loop would spin on it
        scheduleAfter(ACCEPT_RETRY_NANOS, this::startAccepting);
        if (!poller.canOpenSocket()) {
            freeDescriptors();
        }
    }

    /**
     * Handles a descriptor refused below the configured limit: lowers the limit to the number of open connections
     * less a spare, closes idle clients until the limit is kept, and opens the pending connections after a delay.
     * Nothing is lost: a pending connection counts as one that is slow to connect.
     */
    private void freeDescriptors() {
        if (descriptorReleasePending) {
            return;
        }
        descriptorReleasePending = true;
        deferredTasks.add(() -> {
            int openConnections = clients.size() + reducer.serverConnectionCount() - unopenedServers.size();
            descriptorBudget.lowerLimit(openConnections);
            shareDescriptors();
            while (clients.size() + reducer.serverConnectionCount() > descriptorBudget.connectionLimit()
                    && shedIdleClient()) {
                // each pass closes one client
            }
            if (shortageLines.permits(System.nanoTime())) {
                LOG.warn("no descriptor is free with {} connections open", openConnections);
            }
            if (observedLimitExpiry != null) {
                observedLimitExpiry.cancel();
            }
            observedLimitExpiry = deadlines.schedule(now() + OBSERVED_LIMIT_NANOS, () -> {
                descriptorBudget.restoreLimit();
                shareDescriptors();
            });
            deadlines.schedule(now() + DESCRIPTOR_RETRY_NANOS, this::openPendingConnections);
        });
    }

    private void openPendingConnections() {
        openRetryPending = false;
        descriptorReleasePending = false;
        Map<Long, InetSocketAddress> pendingServers = new LinkedHashMap<>(unopenedServers);
        unopenedServers.clear();
        if (discoveryOpenPending) {
            discoveryOpenPending = false;
            openDiscovery();
        }
        pendingServers.forEach(this::openConnection);
    }

    /** Starts accepting clients, if the listener is still open. */
    private void startAccepting() {
        admitsClients = true;
        if (listener.isOpen()) {
            listener.setAccepting(true);
        }
    }

    /** Tells the reducer how many server connections the present number of clients leaves room for. */
    private void shareDescriptors() {
        reducer.setMaxServerConnections(now(), descriptorBudget.serverLimit(clients.size()));
    }

    /**
     * Closes a client connection to make room: one that has never sent a command and is past the grace period, else the
     * one that has been idle longest. Hundreds of clients that connect and send nothing thus don't displace established
     * ones.
     *
     * @return false if all clients are busy
     */
    private boolean shedIdleClient() {
        ClientLink candidate = null;
        for (ClientLink client : clients.values()) {
            boolean isSilent =
                    client.protocol.commandCount() == 0 && now() - client.lastActivityAt > SILENT_CLIENT_GRACE_NANOS;
            if (!client.protocol.isBusy() && (candidate == null || isSilent)) {
                candidate = client;
                if (isSilent) {
                    break;
                }
            }
        }
        if (candidate != null) {
            candidate.terminate("shed for a new client");
        }
        return candidate != null;
    }

    /**
     * Closes clients that hold a descriptor without using it: those that connect and send nothing, never complete a
     * message, don't read their answers, or keep a connection that they no longer use.
     */
    private void checkClients() {
        deadlines.schedule(now() + CLIENT_CHECK_INTERVAL_NANOS, this::checkClients);
        int idleLimit = descriptorBudget.idleClientLimit();
        for (ClientLink client : List.copyOf(clients.values())) {
            if (!client.isOpen()) {
                client.onLost(); // the first call was ended by a failure
                continue;
            }
            if (now() - client.lastActivityAt < CLIENT_IDLE_NANOS || client.protocol.unansweredCount() > 0) {
                continue;
            }
            if (client.protocol.unparsedBytes() > 0 && !client.isClosing) {
                client.expire();
            } else if (client.isClosing
                    || client.queuedBytes() > 0
                    || client.protocol.commandCount() == 0
                    || clients.size() > idleLimit) {
                client.terminate(client.isClosing ? "lingered" : "idle");
            }
        }
    }

    private final class ClientLink extends Link implements ClientProtocol.Environment {
        private final long id;
        private final ClientProtocol protocol;
        private boolean isClosing;
        private boolean isHalfClosed;
        private boolean isDue;
        private final ClientAccount account = new ClientAccount(inputBudget, unreadAnswers);
        /** Whether the last read was ended by a limit, so that the end of the connection may be behind more input. */
        private boolean hasUnreadInput;

        private final long cancelKey;
        /** Null until the connection is half-closed. */
        private Deadline lingerTimeout;
        /** Consecutive checks during shutdown that found nothing to read. */
        private int emptyReadChecks;
        /** The latest time at which the client connected, began a message, sent a command or was given an answer. */
        private long lastActivityAt = now();

        ClientLink(long id) {
            super(EventLoop.this);
            this.id = id;
            this.protocol = clientProtocolFactory.apply(this);
            this.cancelKey = cancelKeys.nextKey(clientsByCancelKey::containsKey);
        }

        @Override
        public long cancelKey() {
            return cancelKey;
        }

        @Override
        public void cancelByKey(long key) {
            ClientLink target = clientsByCancelKey.get(key);
            if (target != null) {
                target.readCommands(); // what it had sent before the cancellation
                target.protocol.cancelOldest();
            }
        }

        @Override
        public void cancelRequest(long slot) {
            reducer.onRequestCancelled(now(), id, slot);
        }

        @Override
        public void submit(long slot, ClientRequest request) {
            if (!hasFailed()) {
                reducer.onRequest(now(), id, slot, request);
            }
        }

        @Override
        public boolean isReady() {
            return isReady;
        }

        @Override
        public void write(byte[] bytes) {
            writeInTurn(bytes);
        }

        @Override
        public void recordError(String sqlState) {
            count("error", sqlState);
        }

        @Override
        public TurnAccount turn() {
            return account.turn();
        }

        private void recordExhaustedTurn() {
            if (!turn().hasCredit() && protocol.hasCompleteCommand()) {
                turn().recordExhaustedTurn();
                count("turn", "used up");
            }
        }

        /** What the client has cost since the last report. */
        LimitReport.ClientCost takeCost() {
            return turn().takeCost(connection().peerAddress());
        }

        @Override
        void enqueueEvents() {
            readableClients.add(this);
        }

        @Override
        void handleSelected(ByteBuffer buffer) {
            super.handleSelected(buffer);
            if (hasUnreadInput && isOpen() && !connection().isReadable()) {
                readAvailable(buffer); // put off earlier, and perhaps read to its end then
            }
        }

        /**
         * Reads what has arrived, if possible to its end. The end of a connection can be seen only after everything
         * that the client sent has been read, and nothing may begin for a client that has left. So a client is read
         * even while its commands must wait, and commands that there is no room for are refused.
         */
        @Override
        void readAvailable(ByteBuffer buffer) {
            ReadResult result = ReadResult.DATA;
            refuseExcessCommands();
            long quantumEnd = readBytes + CLIENT_READ_QUANTUM_BYTES;
            while (result == ReadResult.DATA && readableBytes() > 0 && readBytes < quantumEnd) {
                result = read(buffer, readableBytes());
                readBytes += LEAST_VISIT_COST_BYTES + (result == ReadResult.DATA ? buffer.limit() : 0);
                refuseExcessCommands();
            }
            hasUnreadInput = result == ReadResult.DATA;
        }

        /** How many bytes may be read now; the input of a connection that has ended is dropped. */
        private int readableBytes() {
            if (!isOpen()) {
                return 0;
            }
            return isHalfClosed || isClosing
                    ? BUFFER_BYTES
                    : account.readableBytes(clients.size(), !protocol.hasCompleteCommand());
        }

        private boolean hasInputRoom() {
            return account.hasInputRoom(clients.size());
        }

        /** Whether there is more input, and room for it, that has to be read before further commands may begin. */
        private boolean mustReadFirst() {
            return hasUnreadInput && isOpen() && !isStopped && hasInputRoom();
        }

        /** Whether all that is kept is a part of one message, which can be handled only once the rest has come. */
        private boolean keepsIncompleteMessage() {
            return account.unparsedBytes() > 0 && !protocol.hasCompleteCommand();
        }

        /** Refuses commands that wait behind unanswered ones, the first of them first, if too much input is kept. */
        private void refuseExcessCommands() {
            if (!isOpen() || hasInputRoom() || !protocol.isAwaitingAnswers() || !protocol.hasCompleteCommand()) {
                return;
            }
            count("refused", "sent too much at once");
            protocol.refuseCommands(inputBudget.clientLimit(clients.size()));
            updateByteCounts();
            if (protocol.unansweredCount() > WAITING_REPLY_LIMIT
                    || !unreadAnswers.hasRoom(account.unreadBytes(), 0, clients.size())) {
                protocol.reject("too many commands at once");
                updateByteCounts();
            }
        }

        @Override
        void onReceived(ByteBuffer bytes) {
            if (!isHalfClosed && !isClosing) {
                clients.remove(id); // keeps the longest idle client first
                clients.put(id, this);
                lastActivityAt = protocol.unparsedBytes() == 0 ? now() : lastActivityAt;
                protocol.receive(bytes);
                updateByteCounts();
                scheduleCommands();
            }
        }

        /** Reads commands from the bytes received, once the client's input has been read to its end. */
        void readCommands() {
            isDue = false;
            if (mustReadFirst()) {
                scheduleEvents();
                scheduleCommands();
                return;
            }
            turn().beginTurn(turn);
            if (isOpen() && !hasFailed() && !isHalfClosed && !isClosing && readsItsAnswers()) {
                long commandsBefore = protocol.commandCount();
                protocol.readCommands();
                recordExhaustedTurn();
                updateState(protocol.commandCount() > commandsBefore);
            }
        }

        void answer(long slot, Answer answer) {
            boolean keepsValue = !(answer instanceof Answer.Served served) || hasRoomFor(slot, served);
            if (!keepsValue) {
                flushTurn(); // output of this turn is not unread yet
                keepsValue = hasRoomFor(slot, (Answer.Served) answer);
            }
            protocol.answer(slot, keepsValue ? answer : new Answer.Failed("the client does not read its answers"));
            updateState(true);
        }

        private boolean hasRoomFor(long slot, Answer.Served served) {
            // An answer that is next in order releases the answers held back behind it, so those don't count.
            long unreadBefore = protocol.isNext(slot) ? queuedBytes() : account.unreadBytes();
            return unreadAnswers.hasRoom(unreadBefore, served.value().length, clients.size());
        }

        @Override
        public void scheduleCommands() {
            if (!isDue) {
                isDue = true;
                dueClients.add(this);
            }
        }

        /**
         * Brings the byte counts and the read interest up to date after the protocol has read commands or taken an
         * answer.
         *
         * @param hasProgressed whether a command was read or an answer taken
         */
        private void updateState(boolean hasProgressed) {
            lastActivityAt = hasProgressed ? now() : lastActivityAt;
            updateByteCounts();
            updateReadInterest();
        }

        private void updateByteCounts() {
            long unreadBytes = isOpen() ? queuedBytes() + protocol.heldBackBytes() : 0;
            account.update(protocol.unparsedBytes(), protocol.inputBufferBytes(), unreadBytes);
        }

        /** Whether the client reads its answers fast enough for more of its commands to be read. */
        private boolean readsItsAnswers() {
            return queuedBytes() < QUEUED_LIMIT_BYTES && unreadAnswers.hasRoom(queuedBytes(), 0, clients.size());
        }

        /** A client that leaves its answers unread need not be read: writing to it fails once it has left. */
        private void updateReadInterest() {
            setInterest(SelectionKey.OP_READ, isHalfClosed || isClosing || readsItsAnswers() || hasInputRoom());
        }

        /** Ends the connection with an error because of a message that is not complete. */
        void expire() {
            protocol.expire();
            updateByteCounts();
            updateReadInterest();
        }

        @Override
        void onPartlyFlushed() {
            updateByteCounts();
        }

        @Override
        void onFlushed() {
            updateByteCounts();
            updateReadInterest();
            if (isClosing) {
                halfClose();
            } else if (account.unparsedBytes() > 0) {
                scheduleCommands(); // commands may have waited for the client to read its answers
            }
        }

        /** Called by the protocol: closes the connection once all output is written. */
        @Override
        public void closeAfterWrites() {
            isClosing = true;
            if (isOpen() && queuedBytes() == 0) {
                halfClose();
            }
        }

        /**
         * Shuts down the sending side and keeps reading until the client closes too. Closing with unread input would
         * reset the connection, and the client could lose the last answer.
         */
        private void halfClose() {
            if (isHalfClosed || !isOpen()) {
                return;
            }
            isHalfClosed = true;
            if (connection().shutdownOutput().outcome() == Outcome.PROGRESS) {
                lingerTimeout = scheduleAfter(LINGER_NANOS, () -> terminate("lingered"));
            } else {
                deferredTasks.add(() -> terminate("can't be half-closed"));
            }
        }

        /** Half-closes the connection during shutdown if nothing is in progress on it. */
        void closeIfIdle() {
            if (isHalfClosed || !isOpen() || protocol.isBusy()) {
                return;
            }
            // A request that has arrived since the last check is answered first. A single empty check may be a call
            // that failed, so several are required.
            emptyReadChecks = read(readBuffer) == ReadResult.NO_DATA ? emptyReadChecks + 1 : 0;
            if (emptyReadChecks < EMPTY_CHECK_COUNT) {
                scheduleRecheck();
            } else if (isOpen() && !protocol.isBusy() && queuedBytes() == 0) {
                halfClose();
            }
        }

        /** Closes the connection at once; the reason is counted under "closed". */
        void terminate(String reason) {
            flushTurn();
            if (isOpen()) {
                count("closed", reason);
                LOG.debug("closing client {} {}: {}", id, connection().peerAddress(), reason);
                reducer.recordClientClose(id);
                closeSocket();
                onLost();
            }
        }

        /** Ends the connection after a failure in handling it; commands that wait for an answer get an error first. */
        @Override
        void abort() {
            if (isOpen() && !isClosing) {
                reducer.onClientDisconnected(now(), id);
                protocol.failAll();
            } else {
                fail();
            }
        }

        @Override
        void onLost() {
            limitReport.offer(takeCost());
            clients.remove(id);
            clientsByCancelKey.remove(cancelKey);
            shareDescriptors();
            account.close();
            if (lingerTimeout != null) {
                lingerTimeout.cancel();
            }
            reducer.onClientDisconnected(now(), id);
        }
    }

    @Override
    public void answerClient(long clientId, long slot, Answer answer) {
        ClientLink link = clients.get(clientId);
        if (link != null) {
            link.answer(slot, answer);
        }
    }

    // ---- Servers ----

    /** Removes a server connection that has ended; returns whether it was open. */
    boolean forgetServer(long connectionId) {
        return servers.remove(connectionId) != null;
    }

    /** Requests that what the selector found of a server connection is handled once it is its turn. */
    void enqueueServer(ServerLink link) {
        readyServers.add(link);
    }

    /** Records bytes read from a server, which an iteration limits. */
    void recordServerRead(int bytes) {
        serverReadBytes += bytes;
    }

    /** Runs a task once the event or effect at hand has returned. */
    void runLater(Runnable task) {
        deferredTasks.add(task);
    }

    @Override
    public void openConnection(long connectionId, InetSocketAddress endpoint) {
        ServerLink link = new ServerLink(this, reducer, serverProtocolFactory, surplusDataLog, connectionId, endpoint);
        CallResult<Connection> opened = poller.connect(endpoint, link);
        switch (opened.outcome()) {
            case PROGRESS -> {
                consecutiveRefusals = 0;
                count("connection", "server");
                link.attach(opened.value());
                servers.put(connectionId, link);
                if (opened.value().connectedImmediately()) {
                    deferredTasks.add(() -> link.markConnected());
                }
            }
            case TEMPORARY_FAILURE -> {
                unopenedServers.put(connectionId, endpoint);
                handleOpenRefusal(opened.reason());
            }
            case WOULD_BLOCK, END_OF_STREAM, BROKEN, PERMANENT_FAILURE -> {
                count("connection", "failed at once");
                deferredTasks.add(() -> reducer.onServerConnectionLost(now(), connectionId, DisconnectCause.ENDED));
            }
        }
    }

    /**
     * Handles a refused descriptor. Fewer than {@link #REFUSAL_LIMIT} consecutive refusals may be failed calls, so the
     * connection is opened again soon; that many mean that no descriptor is free.
     */
    private void handleOpenRefusal(String reason) {
        count("open", "refused");
        if (++consecutiveRefusals < REFUSAL_LIMIT) {
            if (!openRetryPending) {
                openRetryPending = true;
                scheduleAfter(OPEN_RETRY_NANOS, this::openPendingConnections);
            }
            return;
        }
        LOG.debug("descriptor refused: {}", reason);
        consecutiveRefusals = 0;
        freeDescriptors();
    }

    @Override
    public boolean hasNoUnreadData(long connectionId) {
        ServerLink link = servers.get(connectionId);
        return link != null && link.isQuiet();
    }

    @Override
    public void sendQuery(long connectionId, Statement statement, long waitMillis) {
        ServerLink link = servers.get(connectionId);
        if (link == null) {
            return;
        }
        if (reducer.mayWriteQuery(now(), connectionId, false)) {
            link.sendQuery(statement, waitMillis);
        } else {
            deferredTasks.add(() -> reducer.onQueryAbandoned(now(), connectionId));
        }
    }

    @Override
    public void sendProbe(long connectionId) {
        ServerLink link = servers.get(connectionId);
        if (link != null) {
            link.sendProbe();
        }
    }

    @Override
    public void synchronize(long connectionId) {
        ServerLink link = servers.get(connectionId);
        if (link != null) {
            link.synchronize();
        }
    }

    @Override
    public void closeConnection(long connectionId) {
        unopenedServers.remove(connectionId);
        ServerLink link = servers.remove(connectionId);
        if (link != null) {
            link.closeSocket();
        }
    }

    // ---- Discovery ----

    private final class DiscoveryLink extends Link {
        DiscoveryLink() {
            super(EventLoop.this);
        }

        @Override
        void onConnected() {
            discoveryClient.connected(now());
        }

        @Override
        void enqueueEvents() {} // the loop looks at the only one in each iteration

        @Override
        void onReceived(ByteBuffer bytes) {
            discoveryClient.received(now(), bytes);
        }

        @Override
        void onLost() {
            if (discoveryLink == this) {
                discoveryLink = null;
                if (peerEndedCleanly()) {
                    discoveryClient.ended(now());
                } else {
                    discoveryClient.broken(now());
                }
            }
        }
    }

    @Override
    public void openDiscovery() {
        DiscoveryLink link = new DiscoveryLink();
        CallResult<Connection> opened = poller.connect(discoveryAddress, link);
        switch (opened.outcome()) {
            case PROGRESS -> {
                link.attach(opened.value());
                discoveryLink = link;
                if (opened.value().connectedImmediately()) {
                    deferredTasks.add(() -> link.markConnected());
                }
            }
            case TEMPORARY_FAILURE -> {
                discoveryOpenPending = true;
                handleOpenRefusal(opened.reason());
            }
            case WOULD_BLOCK, END_OF_STREAM, BROKEN, PERMANENT_FAILURE ->
                deferredTasks.add(() -> discoveryClient.broken(now()));
        }
    }

    @Override
    public void sendToDiscovery(byte[] request) {
        count("list", "call");
        DiscoveryLink link = discoveryLink;
        if (link != null) {
            link.write(request);
        }
    }

    @Override
    public void closeDiscovery() {
        discoveryOpenPending = false;
        DiscoveryLink link = discoveryLink;
        discoveryLink = null;
        if (link != null) {
            link.closeSocket();
        }
    }

    @Override
    public void onSurplusData() {
        surplusDataLog.recordDiscovery(discoveryAddress);
    }

    @Override
    public void onServerList(long now, Gateway.ListKind kind, List<ServerEntry> entries) {
        count("list", kind.name());
        reducer.onServerList(now, kind, entries);
        updateReadiness(kind != Gateway.ListKind.FAILED && kind != Gateway.ListKind.SILENT);
    }

    /** Marks the router as ready once it has a list, and answers the clients that asked whether it is. */
    private void updateReadiness(boolean hasList) {
        if (!isReady && hasList) {
            isReady = true;
            startAccepting();
            List.copyOf(clients.values()).forEach(c -> c.protocol.onReady());
        }
    }

    @Override
    public void watchServerList(boolean enabled) {
        deferredTasks.add(() -> discoveryClient.follow(now(), enabled));
    }

    @Override
    public void fetchServerList() {
        deferredTasks.add(() -> discoveryClient.fetch(now()));
    }

    @Override
    public void log(String line) {
        if (stateLines.permits(System.nanoTime())) {
            LOG.info(line);
        } else {
            count("log", "line left out");
        }
    }

    @Override
    public boolean isTraceEnabled() {
        return eventCounts != null;
    }

    @Override
    public void trace(String request, String event, String cause) {
        LOG.debug("request {} {} {}", request, event, cause);
    }

    @Override
    public void count(String subject, String cause) {
        limitReport.count(subject, cause);
        if (eventCounts != null) {
            eventCounts.increment(subject, cause);
        }
    }
}
