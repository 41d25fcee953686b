package stoatrill.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import stoatrill.Decide;
import stoatrill.Gateway;
import stoatrill.contract.Contracts;
import stoatrill.core.DeadlineQueue.Deadline;

/**
 * The router's state machine and the only place where its state changes. Events from the sockets come in through the
 * public methods; the resulting I/O is requested through {@link Effects}. The reducer owns the requests, their
 * attempts, the probes and the connections to servers. It implements {@link Gateway}, through which the decision
 * module ({@link Decide}) acts.
 *
 * <p>The actions that the module requests, except logging and counting, are queued. They run after the module's handler
 * of the event has returned, so the module is never called reentrantly.
 */
public final class Reducer implements Gateway, ServerPool.Owner {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long PROBE_TIMEOUT_NANOS = 500 * NANOS_PER_MILLI;
    /** How long after its deadline an unanswered request is failed; shorter than the slack the rules allow. */
    private static final long BACKSTOP_DELAY_NANOS = 5 * NANOS_PER_MILLI;
    /**
     * How far in the future a position may lie. Positions are rounded (commits upwards), and clocks are compared only
     * from time to time.
     */
    private static final long POSITION_TOLERANCE_NANOS = 20 * NANOS_PER_MILLI;
    /** Upper bound on a client's announced wait, as a multiple of the longest client timeout of all classes. */
    private static final long MAX_WAIT_FACTOR = 10;
    /**
     * Ids that are remembered of writes that may have run. With the usual deadlines that is thousands of writes a
     * second for the whole retention.
     */
    private static final int RECENT_WRITES_LIMIT_COUNT = 1 << 17;
    /** How long the router keeps an idle connection, as a ratio of the time after which servers close it. */
    private static final double IDLE_TIMEOUT_RATIO = 0.7;

    /** The reducer's configuration, including the module's settings; spans are in nanoseconds. */
    public record Setup(
            Settings settings,
            List<String> zones,
            List<String> models,
            long connectTimeout,
            long serverIdleTimeout,
            int maxUnansweredRequests,
            int maxServerConnections,
            long seed) {}

    private final Effects effects;
    private final Clocks clocks;
    private final Setup setup;
    private final DeadlineQueue deadlines;
    private final Invariants invariants = new Invariants();
    private final ServerPool serverPool;
    private final Gateway.Events decisionModule;
    private final Map<String, RequestClass> classesByName = new HashMap<>();
    private final Map<String, Integer> classIndexes = new HashMap<>(); // as in Settings.classes
    private final Map<Long, Request> requestsById = new HashMap<>();
    private final Map<Long, Map<Long, Request>> openRequestsByClient = new HashMap<>();
    private final ServerDirectory serverDirectory;
    private final Set<String> openRequestNames = new HashSet<>(); // ids chosen by the clients
    private final RecentWrites recentWrites;
    private final long maxWaitMillis;
    private final ArrayDeque<Runnable> pendingActions = new ArrayDeque<>();
    private long now;
    private long nextRequestId = 1;
    private int unansweredCount;
    private boolean isModuleRunning;
    private boolean isShuttingDown;

    private final RequestGate requestGate;
    private ContractGate contractGate;

    /** Creates a reducer that knows no server yet: {@link #onServerList} must be called first. */
    public Reducer(Effects effects, Clocks clocks, DeadlineQueue deadlines, Setup setup) {
        this(effects, clocks, deadlines, setup, gateway -> new Decide(gateway, setup.settings(), setup.seed()));
    }

    /** Creates a reducer with another decision module than {@link Decide}, to compare the two. */
    public Reducer(
            Effects effects,
            Clocks clocks,
            DeadlineQueue deadlines,
            Setup setup,
            Function<Gateway, Gateway.Events> decisions) {
        this.effects = effects;
        this.deadlines = deadlines;
        this.clocks = clocks;
        this.setup = setup;
        this.requestGate = new RequestGate(setup.settings());
        this.serverPool = new ServerPool(
                effects,
                deadlines,
                this,
                new ServerPool.Limits(setup.maxServerConnections(), setup.connectTimeout(), (long)
                        (setup.serverIdleTimeout() * IDLE_TIMEOUT_RATIO)));
        this.serverDirectory = new ServerDirectory(serverPool, clocks, setup, effects::log);
        for (RequestClass requestClass : setup.settings().classes()) {
            classIndexes.put(requestClass.name(), classesByName.size());
            classesByName.put(requestClass.name(), requestClass);
        }
        this.maxWaitMillis = setup.settings().classes().stream()
                        .mapToLong(RequestClass::clientTimeout)
                        .max()
                        .orElse(0)
                / NANOS_PER_MILLI
                * MAX_WAIT_FACTOR;
        // No client waits longer for an answer than this, so none repeats a request later.
        this.recentWrites = new RecentWrites(maxWaitMillis * NANOS_PER_MILLI, RECENT_WRITES_LIMIT_COUNT, setup.seed());
        this.decisionModule = decisions.apply(this);
    }

    /**
     * Enforces this router's part of the given contracts from now on. What was spent under the previous contracts still
     * counts. Null disables contracts.
     */
    public void applyContracts(long eventTime, Contracts contracts) {
        now = eventTime;
        Contracts ownPart =
                contracts == null ? null : contracts.perRouter(setup.settings().gatewayCount());
        if (ownPart == null) {
            contractGate = null;
        } else if (contractGate == null) {
            contractGate = new ContractGate(ownPart, setup.seed(), now);
        } else {
            contractGate.reload(ownPart, now);
        }
    }

    // Client events

    /** Handles a request that was read completely; {@code slot} numbers it within the client's connection. */
    public void onRequest(long eventTime, long client, long slot, ClientRequest clientRequest) {
        now = eventTime;
        RequestClass requestClass = classesByName.get(clientRequest.requestClass());
        if (requestClass == null) {
            effects.answerClient(
                    client, slot, new Answer.Invalid("unknown class \"" + clientRequest.requestClass() + "\""));
            return;
        }
        if (clientRequest.isWrite() != (requestClass.consistency() == Consistency.WRITE)) {
            // A writing statement must not be sent under a class that may be repeated: it could run twice.
            effects.answerClient(
                    client,
                    slot,
                    new Answer.Invalid("class \"" + requestClass.name() + "\" is not for this statement"));
            return;
        }
        String problem = findProblem(clientRequest);
        if (problem != null) {
            effects.answerClient(client, slot, new Answer.Invalid(problem));
            return;
        }
        boolean mustRunOnce = Request.mustRunOnce(requestClass);
        if (mustRunOnce && recentWrites.contains(clientRequest.id(), now)) {
            effects.count("repeated", "id that may have run");
            effects.answerClient(client, slot, new Answer.Failed("a request with this id may have run already"));
            return;
        }
        if (isShuttingDown
                || unansweredCount >= setup.maxUnansweredRequests()
                || (mustRunOnce && recentWrites.isFull(now))) {
            effects.answerClient(client, slot, new Answer.Refused(0));
            return;
        }
        int teamIndex = -1;
        boolean isGroupShort = contractGate != null && contractGate.isShort(clientRequest.group(), now);
        if (contractGate != null) {
            teamIndex = contractGate.teamIndex(clientRequest.team());
            if (teamIndex < 0) {
                effects.answerClient(
                        client, slot, new Answer.Invalid("team \"" + clientRequest.team() + "\" has no contract here"));
                return;
            }
            long waitNanos = contractGate.admit(teamIndex, isGroupShort, now);
            if (waitNanos > 0) {
                Limits limits = setup.settings().limits();
                long retryAfterNanos = limits.mayAdviseRetry() ? Math.min(waitNanos, limits.maxRetryAfter()) : 0;
                effects.answerClient(
                        client, slot, new Answer.Refused((retryAfterNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI));
                return;
            }
        }
        Request request = new Request(
                nextRequestId++,
                client,
                slot,
                clientRequest,
                requestClass,
                now + clientRequest.waitMillis() * NANOS_PER_MILLI);
        effects.count(requestClass.name(), "asked");
        trace(request, "taken", requestClass.name());
        request.teamIndex = teamIndex;
        request.isGroupShort = isGroupShort;
        request.chargedAt = now;
        request.accounts = contractGate == null ? null : contractGate.accounts();
        requestsById.put(request.id, request);
        openRequestNames.add(clientRequest.id());
        openRequestsByClient.computeIfAbsent(client, c -> new LinkedHashMap<>()).put(slot, request);
        unansweredCount++;
        request.backstopDeadline =
                deadlines.schedule(request.deadline + BACKSTOP_DELAY_NANOS, () -> failOverdueRequest(request));
        long tokenAge = clientRequest.lastWriteMillis() > 0
                ? Math.max(1, now - clocks.fromWallMillis(clientRequest.lastWriteMillis()))
                : 0;
        notifyModule(() -> decisionModule.onRequest(
                now,
                request.id,
                toNumericKey(clientRequest.key()),
                clientRequest.group(),
                request.deadline,
                tokenAge,
                clientRequest.isRepeat(),
                classIndexes.get(requestClass.name()),
                0));
    }

    /**
     * Describes why a request is invalid: its id is in use, its wait is out of range, or its group is unknown. With an
     * id in use, a server would take it for another request. With an unknown group, no server could handle it. Returns
     * null if it is valid.
     */
    private String findProblem(ClientRequest clientRequest) {
        if (openRequestNames.contains(clientRequest.id())) {
            return "id is in use by a request that is still open";
        }
        if (clientRequest.waitMillis() < 1 || clientRequest.waitMillis() > maxWaitMillis) {
            return "d is out of range";
        }
        return serverDirectory.knowsGroup(clientRequest.group())
                ? null
                : "cluster " + clientRequest.group() + " is not known";
    }

    /** Handles the end of a client's connection: ends all its requests without an answer. */
    public void onClientDisconnected(long eventTime, long client) {
        now = eventTime;
        Map<Long, Request> openRequests = openRequestsByClient.remove(client);
        if (openRequests != null) {
            for (Request request : openRequests.values()) {
                finishRequest(request, null);
                notifyModule(() -> decisionModule.onClientLeft(now, request.id));
            }
        }
    }

    /** Handles a client's cancellation of one request: ends it at once and abandons its attempts not yet written. */
    public void onRequestCancelled(long eventTime, long client, long slot) {
        now = eventTime;
        Request request = openRequestsByClient.getOrDefault(client, Map.of()).get(slot);
        if (request != null) {
            finishRequest(request, new Answer.Cancelled());
            notifyModule(() -> decisionModule.onClientLeft(now, request.id));
        }
    }

    /** Starts the shutdown: fails every request that is owed an answer and refuses all later requests. */
    public void failAllRequests(long eventTime) {
        now = eventTime;
        isShuttingDown = true;
        for (Request request : List.copyOf(requestsById.values())) {
            if (!request.isOver) {
                finishRequest(request, new Answer.Failed("the router is ending"));
                notifyModule(() -> decisionModule.onClientLeft(now, request.id));
            }
        }
        runPendingActions();
    }

    /** Sets the limit of connections to servers, which depends on what else the router holds open. */
    public void setMaxServerConnections(long eventTime, int maxConnections) {
        now = eventTime;
        serverPool.setMaxConnections(now, maxConnections);
        runPendingActions();
    }

    /** The number of connections to servers. */
    public int serverConnectionCount() {
        return serverPool.size();
    }

    /** The number of requests that are owed a final answer. */
    public int unansweredCount() {
        return unansweredCount;
    }

    // Server events

    /** Handles a connection to a server that is established and accepts queries. */
    public void onServerConnected(long eventTime, long connectionId) {
        now = eventTime;
        ServerConnection connection = serverPool.get(connectionId);
        if (connection != null) {
            serverPool.connectionEstablished(now, connection);
            runPendingActions();
        }
    }

    /** Handles the write of a query's last byte: from now on the query may have run. */
    public void onQueryWritten(long eventTime, long connectionId) {
        now = Math.max(now, eventTime);
        onQueryWritten(connectionId);
    }

    /** Same as {@link #onQueryWritten(long, long)}, at the time of the last event. */
    public void onQueryWritten(long connectionId) {
        ServerConnection connection = serverPool.get(connectionId);
        if (connection != null && connection.attempt != null) {
            connection.attempt.state = Attempt.State.WRITTEN;
            requestGate.recordSent(connection.attempt, now);
            trace(connection.attempt, "sent", "");
        }
    }

    /**
     * Whether a query may be written to its connection now. Called before the query is encoded and again immediately
     * before a queued write, because time may have passed and the request may be over. If the result is false, the
     * caller calls {@link #onQueryAbandoned}.
     *
     * @param isPartlyWritten whether a part of the query is written and the server is reading the rest
     */
    public boolean mayWriteQuery(long writeTime, long connectionId, boolean isPartlyWritten) {
        ServerConnection connection = serverPool.get(connectionId);
        if (connection == null || connection.attempt == null) {
            return false;
        }
        RequestGate.Ruling ruling = requestGate.checkLateSend(connection.attempt, writeTime, isPartlyWritten);
        if (!ruling.isAllowed()) {
            recordDenial(connection.attempt, ruling);
        }
        return ruling.isAllowed();
    }

    /** Handles a query that was not written completely and will not be: closes its connection. */
    public void onQueryAbandoned(long eventTime, long connectionId) {
        now = eventTime;
        ServerConnection connection = serverPool.get(connectionId);
        if (connection != null && connection.attempt != null) {
            abandonAttempt(connection.attempt, Result.TIMEOUT);
            runPendingActions();
        }
    }

    /** Handles a server's answer; {@code isReusable} tells whether the connection accepts another query. */
    public void onServerAnswer(long eventTime, long connectionId, ServerAnswer answer, boolean isReusable) {
        now = eventTime;
        ServerConnection connection = serverPool.get(connectionId);
        if (connection == null) {
            return;
        }
        Attempt attempt = connection.attempt;
        if (attempt == null || !isReusable) {
            serverPool.closeConnection(connection); // after an unsolicited answer the connection's state is unknown
        }
        if (attempt == null) {
            return;
        }
        endAttempt(attempt, answer.result(), answer);
        if (isReusable && isShuttingDown) {
            serverPool.closeConnection(connection);
        } else if (isReusable) {
            serverPool.releaseConnection(now, connection);
        }
        runPendingActions();
    }

    /** Handles the proof that a server has sent nothing beyond its last answer: the connection is free again. */
    public void onServerSynchronized(long eventTime, long connectionId) {
        now = eventTime;
        ServerConnection connection = serverPool.get(connectionId);
        if (connection != null) {
            serverPool.connectionSynchronized(now, connection);
            runPendingActions();
        }
    }

    /** Handles the end of a connection to a server, or unreadable data on it. */
    public void onServerConnectionLost(long eventTime, long connectionId, DisconnectCause cause) {
        now = eventTime;
        ServerConnection connection = serverPool.get(connectionId);
        if (connection == null) {
            return;
        }
        Attempt attempt = connection.attempt;
        serverPool.connectionLost(now, connection, cause == DisconnectCause.FULL);
        serverPool.openDeferredConnections(now); // attempts that wait go before those the module sends next
        if (attempt != null) {
            // Before the last byte is written, the server can't have begun to run the query; after it, it may have.
            boolean isWritten = attempt.state == Attempt.State.WRITTEN;
            endAttempt(
                    attempt,
                    !isWritten ? Result.CONNECT_FAILED : cause == DisconnectCause.SPOILT ? Result.SPOILT : Result.RESET,
                    null);
        }
        runPendingActions();
    }

    // Discovery and timer events

    /** Handles an update of the server list. The first call brings the cached list and starts the module. */
    public void onServerList(long eventTime, ListKind listKind, List<ServerEntry> entries) {
        now = eventTime;
        List<ListEntry> members = serverDirectory.update(now, listKind, entries);
        notifyModule(() -> decisionModule.onServerList(now, listKind, members));
        serverDirectory.removeGoneServers();
    }

    /** The numbers of entries held for servers, for requests and for request ids. */
    public List<Integer> heldEntryCounts() {
        return List.of(
                serverDirectory.entryCount(),
                requestsById.size() + openRequestsByClient.size(),
                openRequestNames.size());
    }

    /** Handles a change of the discovery address: failures at the old address say nothing about the new one. */
    public void onDiscoveryMoved(long eventTime) {
        now = eventTime;
        serverDirectory.listMoved();
        notifyModule(() -> decisionModule.onDiscoveryMoved(now));
    }

    /** Runs the deadlines that are due. Returns when the next one is due. */
    public long runDueDeadlines(long eventTime) {
        now = eventTime;
        deadlines.runDue(now);
        runPendingActions();
        return openDeferredConnections(eventTime);
    }

    /** Opens connections that waited for free capacity. Returns when the next deadline is due. */
    public long openDeferredConnections(long eventTime) {
        now = eventTime;
        serverPool.openDeferredConnections(now);
        runPendingActions();
        return deadlines.nextDueAt();
    }

    /** How often each invariant was broken, by its description; rules of the request gate by their names. */
    public Map<String, Long> brokenInvariants() {
        Map<String, Long> broken = new TreeMap<>(invariants.violations());
        requestGate.violations().forEach((rule, count) -> broken.put(rule.name(), count));
        return broken;
    }

    /** Records that the router closes a client's connection: a violation if an answer is still owed on it. */
    public void recordClientClose(long client) {
        RequestGate.Ruling ruling = requestGate.checkClose(
                openRequestsByClient.getOrDefault(client, Map.of()).size());
        if (!ruling.isAllowed()) {
            requestGate.recordViolation(ruling);
        }
    }

    // Decision module and its actions

    /** Calls the module, then runs the actions it asked for. */
    private void notifyModule(Runnable event) {
        callModule(event);
        runPendingActions();
    }

    private void callModule(Runnable event) {
        if (!invariants.check(!isModuleRunning, "the module is not called from within itself")) {
            pendingActions.add(() -> callModule(event));
            return;
        }
        isModuleRunning = true;
        try {
            event.run();
        } catch (RuntimeException | LinkageError | VirtualMachineError e) {
            // A failure of the module must not affect other requests; the backstop ends the one that caused it.
            invariants.check(false, "the module does not throw");
            effects.log("decision failed: " + e);
        } finally {
            isModuleRunning = false;
        }
    }

    private void runPendingActions() {
        Runnable action;
        while ((action = pendingActions.poll()) != null) {
            action.run();
        }
    }

    @Override
    public void sendAttempt(long requestId, long serverId, long timeout) {
        pendingActions.add(() -> startAttempt(requestId, serverDirectory.findServer(serverId), timeout));
    }

    private void startAttempt(long requestId, Server server, long timeout) {
        Request request = requestsById.get(requestId);
        if (!invariants.check(request != null, "a send names a request that was taken")) {
            return;
        }
        Attempt attempt = new Attempt(request, request.attempts.size(), server, now);
        request.attempts.add(attempt);
        effects.count(request.requestClass.name(), attempt.number == 0 ? "first" : "further");
        request.openAttemptCount++;
        if (request.accounts != null && attempt.number > 0) {
            // Each further attempt is charged to the team as well.
            request.accounts.charge(request.teamIndex, request.isGroupShort, now);
        }
        if (server.endpoint == null) {
            endAttempt(attempt, Result.CONNECT_FAILED, null);
            return;
        }
        RequestGate.Ruling ruling = requestGate.checkBegin(attempt, now);
        if (!ruling.isAllowed()) {
            recordDenial(attempt, ruling);
            endAttempt(attempt, Result.MOOT, null);
            return;
        }
        trace(attempt, "begun", "");
        long timeoutAt = timeout > 0 ? Math.min(now + timeout, request.deadline) : request.deadline;
        attempt.timeoutDeadline = deadlines.schedule(timeoutAt, () -> abandonAttempt(attempt, Result.TIMEOUT));
        serverPool.assignConnection(now, attempt);
    }

    @Override
    public void probeServer(long serverId) {
        pendingActions.add(() -> {
            Attempt attempt = new Attempt(null, 0, serverDirectory.findServer(serverId), now);
            if (attempt.server.endpoint == null) {
                endAttempt(attempt, Result.CONNECT_FAILED, null);
                return;
            }
            attempt.timeoutDeadline =
                    deadlines.schedule(now + PROBE_TIMEOUT_NANOS, () -> abandonAttempt(attempt, Result.TIMEOUT));
            serverPool.assignConnection(now, attempt);
        });
    }

    @Override
    public void cancelAttempt(long requestId, int attemptNumber) {
        pendingActions.add(() -> {
            Request request = requestsById.get(requestId);
            if (request != null && attemptNumber < request.attempts.size()) {
                abandonAttempt(request.attempts.get(attemptNumber), Result.CANCELLED);
            }
        });
    }

    @Override
    public void refuse(long requestId, long retryAfterNanos) {
        pendingActions.add(() -> {
            Request request = requestsById.get(requestId);
            if (contractGate != null && request != null) {
                contractGate.markShort(request.clientRequest.group(), now);
            }
            giveFinalAnswer(requestId, new Answer.Refused((retryAfterNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI));
        });
    }

    @Override
    public void fail(long requestId) {
        pendingActions.add(() -> giveFinalAnswer(requestId, new Answer.Failed("no server answered in time")));
    }

    private void giveFinalAnswer(long requestId, Answer answer) {
        Request request = requestsById.get(requestId);
        if (request == null || request.isOver) {
            return;
        }
        RequestGate.Ruling ruling = requestGate.checkAnswer(request, answer);
        if (!ruling.isAllowed()) {
            requestGate.recordViolation(ruling);
            finishRequest(request, new Answer.Failed("the outcome is not known"));
            return;
        }
        finishRequest(request, answer);
    }

    @Override
    public void startTimer(long delay, long token) {
        pendingActions.add(() -> {
            Deadline timer =
                    deadlines.schedule(now + delay, () -> notifyModule(() -> decisionModule.onTimer(now, token)));
            Request request = requestsById.get(token);
            if (request != null) {
                request.moduleTimers.add(timer);
            }
        });
    }

    @Override
    public void closeIdleConnections(long serverId) {
        pendingActions.add(() -> serverPool.closeIdleConnections(now, serverDirectory.findServer(serverId)));
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        invariants.check(false, "routers share nothing");
    }

    @Override
    public void watchServerList(boolean enabled) {
        pendingActions.add(() -> effects.watchServerList(enabled));
    }

    @Override
    public void fetchServerList() {
        pendingActions.add(effects::fetchServerList);
    }

    @Override
    public void log(String line) {
        effects.log(line);
    }

    @Override
    public void count(String subject, String cause) {
        effects.count(subject, cause);
    }

    // Attempts

    @Override
    public boolean writeAttempt(ServerConnection connection, Attempt attempt) {
        if (attempt.request == null) {
            connection.attempt = attempt;
            attempt.connection = connection;
            attempt.state = Attempt.State.WRITING;
            effects.sendProbe(connection.id);
            return true;
        }
        RequestGate.Ruling ruling = requestGate.checkSend(attempt, now);
        if (!ruling.isAllowed()) {
            recordDenial(attempt, ruling);
            pendingActions.add(() -> endAttempt(attempt, Result.MOOT, null));
            return false;
        }
        connection.attempt = attempt;
        attempt.connection = connection;
        attempt.state = Attempt.State.WRITING;
        attempt.announcedWaitMillis = Math.max(1, (attempt.request.deadline - now) / NANOS_PER_MILLI);
        effects.sendQuery(connection.id, attempt.request.clientRequest.statement(), attempt.announcedWaitMillis);
        return true;
    }

    private void recordDenial(Attempt attempt, RequestGate.Ruling ruling) {
        effects.count("not sent", ruling.name());
        trace(attempt, "not sent", ruling.name());
    }

    private void trace(Request request, String event, String detail) {
        if (effects.isTraceEnabled()) {
            effects.trace(request.clientRequest.id(), event, detail);
        }
    }

    private void trace(Attempt attempt, String event, String detail) {
        if (attempt.request != null && effects.isTraceEnabled()) {
            effects.trace(
                    attempt.request.clientRequest.id(),
                    event,
                    "attempt " + attempt.number + " server " + attempt.server.id + " " + detail);
        }
    }

    @Override
    public void connectionFailed(Attempt attempt, boolean isServerFull) {
        pendingActions.add(() -> endAttempt(attempt, isServerFull ? Result.FULL : Result.CONNECT_FAILED, null));
    }

    /** Stops waiting for an attempt, because of its timeout or a cancellation. */
    private void abandonAttempt(Attempt attempt, Result result) {
        if (attempt.state == Attempt.State.ENDED) {
            return;
        }
        if (attempt.state == Attempt.State.AWAITING_CONNECTION) {
            serverPool.stopWaiting(attempt);
            endAttempt(attempt, result == Result.TIMEOUT ? Result.CONNECT_FAILED : Result.MOOT, null);
            return;
        }
        effects.count("ended", "abandoned");
        serverPool.closeConnection(attempt.connection); // the only way to abandon an attempt that has a connection
        boolean neverRan = attempt.state == Attempt.State.WRITING; // its last byte was not written
        endAttempt(attempt, !neverRan ? result : result == Result.TIMEOUT ? Result.CONNECT_FAILED : Result.MOOT, null);
    }

    private void endAttempt(Attempt attempt, Result result, ServerAnswer answer) {
        if (attempt.state == Attempt.State.ENDED) {
            return;
        }
        attempt.state = Attempt.State.ENDED;
        attempt.mayHaveRun = !result.isCertain || result == Result.OK;
        if (attempt.timeoutDeadline != null) {
            attempt.timeoutDeadline.cancel();
        }
        if (attempt.connectDeadline != null) {
            attempt.connectDeadline.cancel();
        }
        Report report = answer == null ? null : toReport(answer.report());
        updateServer(attempt.server, answer, report);
        Request request = attempt.request;
        effects.count(request == null ? "probed" : "outcome", result.name());
        trace(attempt, "ended", result.name());
        if (request == null) {
            callModule(
                    () -> decisionModule.onProbeEnded(now, attempt.server.id, now - attempt.createdAt, result, report));
            return;
        }
        request.openAttemptCount--;
        if (request.accounts != null && !attempt.mayHaveRun) {
            request.accounts.refund(
                    request.teamIndex,
                    request.isGroupShort,
                    attempt.number == 0 ? request.chargedAt : attempt.createdAt);
        }
        if (result == Result.OK && !request.isOver) {
            finishRequest(request, new Answer.Served(answer.value()));
        }
        long position = answer == null ? NO_POSITION : positionOf(answer);
        Role role = answer == null ? Role.UNKNOWN : answer.role();
        boolean isRequestOver = request.isOver;
        if (isRequestOver && request.openAttemptCount == 0) {
            forgetRequest(request);
        }
        callModule(() -> decisionModule.onAttemptEnded(
                now,
                request.id,
                attempt.number,
                attempt.server.id,
                result,
                now - attempt.createdAt,
                isRequestOver,
                position,
                role,
                report));
    }

    private void updateServer(Server server, ServerAnswer answer, Report report) {
        if (answer == null) {
            return;
        }
        if (positionOf(answer) != NO_POSITION) {
            server.position = Math.max(server.position, positionOf(answer));
        }
        if (answer.role() != Role.UNKNOWN) {
            server.role = answer.role();
        }
        if (report != null && report.position() != NO_POSITION) {
            server.position = Math.max(server.position, report.position());
        }
    }

    /**
     * Returns the position, or {@code NO_POSITION} if it lies further in the future than tolerated, which is an error.
     * Trusting such a position could break the bound on the age of data.
     */
    private long positionIfPlausible(long position) {
        return position <= now + POSITION_TOLERANCE_NANOS ? position : NO_POSITION;
    }

    private long positionOf(ServerAnswer answer) {
        return answer.positionMillis() < 0
                ? NO_POSITION
                : positionIfPlausible(clocks.fromWallMillis(answer.positionMillis()));
    }

    private Report toReport(Map<String, Double> fields) {
        if (fields == null) {
            return null;
        }
        Double appliedSeconds = fields.get("x0");
        Double primaryFlag = fields.get("x1");
        return new Report(
                appliedSeconds == null ? NO_POSITION : positionIfPlausible(clocks.fromWallSeconds(appliedSeconds)),
                primaryFlag == null
                        ? Role.UNKNOWN
                        : primaryFlag == 1 ? Role.PRIMARY : primaryFlag == 0 ? Role.REPLICA : Role.UNKNOWN,
                fields.getOrDefault("q", -1.0),
                fields.getOrDefault("rif", -1.0));
    }

    // Final answers

    /** Ends a request with its only final answer. The answer is null if the client has left. */
    private void finishRequest(Request request, Answer answer) {
        if (request.isOver) {
            requestGate.recordViolation(RequestGate.Ruling.ANSWERED_TWICE);
            return;
        }
        request.isOver = true;
        request.overAt = now;
        trace(
                request,
                "over",
                answer == null ? "its client has left" : answer.getClass().getSimpleName());
        if (request.accounts != null && request.attempts.isEmpty()) {
            // No attempt was created. The charge of an attempt is refunded at its end.
            request.accounts.refund(request.teamIndex, request.isGroupShort, request.chargedAt);
        }
        request.backstopDeadline.cancel();
        openRequestNames.remove(request.clientRequest.id());
        if (request.mustRunOnce() && request.attempts.stream().anyMatch(Attempt::mayHaveRunByNow)) {
            recentWrites.add(request.clientRequest.id(), now);
        }
        unansweredCount--;
        if (request.openAttemptCount == 0) {
            forgetRequest(request);
        }
        Map<Long, Request> clientRequests = openRequestsByClient.get(request.client);
        if (clientRequests != null) {
            clientRequests.remove(request.slot);
            if (clientRequests.isEmpty()) {
                openRequestsByClient.remove(request.client);
            }
        }
        if (answer != null) {
            effects.answerClient(request.client, request.slot, answer);
        }
        for (Attempt attempt : request.attempts) {
            if (attempt.state == Attempt.State.AWAITING_CONNECTION || attempt.state == Attempt.State.WRITING) {
                // The server must not begin to run it after the request's end.
                pendingActions.add(() -> abandonAttempt(attempt, Result.CANCELLED));
            }
        }
    }

    /** Forgets a request that is over and has no attempt out; its timers must not take memory up to its deadline. */
    private void forgetRequest(Request request) {
        requestsById.remove(request.id);
        request.moduleTimers.forEach(Deadline::cancel);
        request.moduleTimers.clear();
    }

    /** Fails a request that the module left without an answer, so that every request gets one. */
    private void failOverdueRequest(Request request) {
        if (!request.isOver) {
            invariants.check(false, "the module answers before the deadline");
            finishRequest(request, new Answer.Failed("no answer before the deadline"));
            callModule(() -> decisionModule.onClientLeft(now, request.id));
        }
    }

    /** Converts a key to a number: 16 hexadecimal digits by their value, other text by its 64-bit FNV-1a hash. */
    private static long toNumericKey(String key) {
        if (key.length() == 16) {
            try {
                return Long.parseUnsignedLong(key, 16);
            } catch (NumberFormatException e) {
                // not hexadecimal: hashed below
            }
        }
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }
}
