package stoatrill.discovery;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.Settings;
import stoatrill.core.DeadlineQueue;
import stoatrill.core.DeadlineQueue.Deadline;
import stoatrill.core.ServerEntry;
import stoatrill.http.ResponseParser;
import stoatrill.http.ResponseParser.BadResponseException;

/**
 * Fetches the list of servers from discovery and watches it by long polls, one call at a time over one connection.
 *
 * <p>A watch continues as long as its next call follows at once. A failed call ends it, and the module decides when
 * to follow the list again. A watch that falls silent is replaced at once, since a change that it missed counts as
 * known to the router soon after its hold time.
 *
 * <p>Nothing in a response names its call, so a response is taken for that of a call only where it can't be surplus
 * data behind an earlier response: calls that are answered at once begin a new connection, and a watch's response
 * brings a new version or comes after its hold time.
 */
public final class DiscoveryClient {

    /**
     * The timing of calls; all spans are in nanoseconds.
     *
     * @param isPushed whether lists are pushed to an agent, rather than asked of discovery itself
     * @param maxHold the longest that a watch asks discovery to hold its call
     * @param holdOverrun how long after its hold time a watch's answer may still come
     * @param answerTimeout how long after it is sent another call's answer may come
     * @param seed for the random hold times
     */
    public record Timing(boolean isPushed, long maxHold, long holdOverrun, long answerTimeout, long seed) {
        private static final long NANOS_PER_MILLI = 1_000_000L;
        /** A change missed by an abandoned call counts as known to the router this long after discovery had it. */
        private static final long MISSED_CHANGE_NANOS = 6_000 * NANOS_PER_MILLI;
        /** Discovery itself fails a call that waited for 2 s in its queue, and reports so. */
        private static final long MAX_QUEUE_NANOS = 2_000 * NANOS_PER_MILLI;

        /** The longest that an answer takes after the wait in that queue. */
        private static final long MAX_SERVICE_NANOS = 500 * NANOS_PER_MILLI;
        /** The slack that the protocol grants on every time limit. */
        private static final long PROTOCOL_SLACK_NANOS = 50 * NANOS_PER_MILLI;
        /** A connection attempt is abandoned after this, early enough for a second call to be in time. */
        private static final long CONNECT_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;
        /** A response must be complete this long after its first byte, or the next call would be too late. */
        private static final long RESPONSE_TIMEOUT_NANOS = 1_000 * NANOS_PER_MILLI;

        private static final long MAX_OVERRUN_NANOS = 500 * NANOS_PER_MILLI;
        /** Discovery holds a call for up to 60 s, but so long a watch would not reveal a lost connection in time. */
        private static final long MAX_HOLD_NANOS = 20_000 * NANOS_PER_MILLI;
        /** Reserve for the time that a send waits for its connection, and for clock differences. */
        private static final long RESERVE_NANOS = 250 * NANOS_PER_MILLI;

        /**
         * Derives the timing from the settings.
         *
         * <p>The longest hold of a watch is limited as follows. If the watch falls silent as it begins, the silence is
         * noticed and the next call answered before the drain grace ends, which starts when the first missed change
         * counts as known. Each watch draws its hold time at random between half of the limit and the limit. Otherwise
         * the watches of a fleet that began together would also end together, and discovery, which serves calls one
         * after another, fails those that it can't serve within 2 s.
         *
         * <p>An agent answers at once, so a call to it counts as lost after half of the grace, and is made again.
         * Discovery itself is given the time of its queue, and a service time that leaves room for a second call that
         * also waits in the queue: after a change of address both fit into 4 s and the grace.
         *
         * @param seed for the random hold times
         */
        public static Timing of(Settings settings, long seed) {
            long grace = settings.rules().drainGrace();
            long holdOverrun = Math.min(MAX_OVERRUN_NANOS, grace);
            long maxHold = Math.min(
                    MAX_HOLD_NANOS,
                    MISSED_CHANGE_NANOS
                            + grace
                            - holdOverrun
                            - RESERVE_NANOS
                            - (settings.listOnRequest() ? MAX_QUEUE_NANOS : grace));
            long queueAndService = MAX_QUEUE_NANOS + Math.min(MAX_SERVICE_NANOS, grace - PROTOCOL_SLACK_NANOS);
            long answerTimeout = settings.listOnRequest()
                    ? queueAndService
                    : Math.min(MAX_QUEUE_NANOS + MAX_SERVICE_NANOS, grace / 2);
            // Routers may be given the same seed.
            return new Timing(
                    !settings.listOnRequest(), maxHold, holdOverrun, answerTimeout, seed + settings.gatewayIndex());
        }
    }

    /** The environment of a client: its connection, and the receiver of its lists. */
    public interface Environment {
        /** Opens a connection to discovery; {@link #connected} or {@link #broken} follows. */
        void openDiscovery();

        /** Sends a request over the open connection. */
        void sendToDiscovery(byte[] request);

        /** Closes the connection; no callback follows. */
        void closeDiscovery();

        /** Delivers a list or changes of it, or, without entries, reports a failed call or a silent watch. */
        void onServerList(long now, ListKind kind, List<ServerEntry> entries);

        /** Discovery has sent data that belongs to no call; its connection is not used further. */
        default void onSurplusData() {}

        /** Logs a line for the operators. */
        void log(String line);
    }

    /** The kind of the call under way. CHECK asks for changes as WATCH does, but is answered at once. */
    private enum CallKind {
        NONE,
        WATCH,
        CHECK,
        FETCH
    }

    private final Environment environment;
    private final DeadlineQueue deadlines;
    private final Timing timing;
    private final SplittableRandom random;
    private String host;
    private long version;
    private boolean isFollowing;
    private boolean fullListRequested;
    private boolean checkNeeded;
    private boolean badResponseLogged;
    private CallKind currentCall = CallKind.NONE;
    private boolean isConnected;
    private boolean isConnecting;
    private boolean isNewConnection;
    private boolean responseBegun;
    /** Before this, a watch is answered only if there is a newer version. */
    private long holdEndsAt;
    /** Whether the call under way repeats one that was not answered in time. */
    private boolean isSecondTry;

    private Deadline timeout;
    private ResponseParser parser = new ResponseParser();

    /**
     * Creates a client, which makes no call before {@link #follow} or {@link #fetch}. Where lists are pushed, the
     * agent's list counts as known to the router from the start, so the client checks for changes before it watches.
     *
     * @param version the version of the list already held; negative if there is none
     */
    public DiscoveryClient(Environment environment, DeadlineQueue deadlines, String host, long version, Timing timing) {
        this.environment = environment;
        this.deadlines = deadlines;
        this.host = host;
        this.version = version;
        this.timing = timing;
        this.random = new SplittableRandom(timing.seed());
        this.checkNeeded = timing.isPushed();
    }

    /** Starts or stops watching the list; a call that is already under way is not affected. */
    public void follow(long now, boolean enabled) {
        isFollowing = enabled;
        startNextCall(now);
    }

    /** Fetches the full list once. */
    public void fetch(long now) {
        fullListRequested = true;
        startNextCall(now);
    }

    /** Changes discovery's address; a call under way is replaced by one to the new address, for the full list. */
    public void changeHost(long now, String newHost) {
        host = newHost;
        version = -1; // versions of another discovery are not comparable
        fullListRequested |= currentCall != CallKind.NONE;
        disconnect();
        finishCall();
        startNextCall(now);
    }

    private void startNextCall(long now) {
        if (currentCall != CallKind.NONE || !(isFollowing || fullListRequested)) {
            return;
        }
        boolean fetchesAll = fullListRequested || version < 0;
        currentCall = fetchesAll ? CallKind.FETCH : checkNeeded ? CallKind.CHECK : CallKind.WATCH;
        fullListRequested = false;
        startCall(now);
    }

    private void startCall(long now) {
        responseBegun = false;
        if (isConnected && currentCall != CallKind.WATCH) {
            disconnect();
        }
        isNewConnection = !isConnected;
        if (isConnected) {
            sendRequest(now);
        } else {
            isConnecting = true;
            setTimeout(now + Math.min(timing.answerTimeout(), Timing.CONNECT_TIMEOUT_NANOS), this::failCall);
            environment.openDiscovery();
        }
    }

    private void sendRequest(long now) {
        long maxHoldMillis = timing.maxHold() / Timing.NANOS_PER_MILLI;
        long holdMillis = currentCall != CallKind.WATCH ? 0 : maxHoldMillis / 2 + random.nextLong(maxHoldMillis / 2);
        holdEndsAt = now + holdMillis * Timing.NANOS_PER_MILLI - Timing.PROTOCOL_SLACK_NANOS;
        // The connection to a discovery that is cut off stays open and silent, so every call has a timeout.
        if (currentCall == CallKind.WATCH) {
            setTimeout(now + holdMillis * Timing.NANOS_PER_MILLI + timing.holdOverrun(), this::handleSilentWatch);
        } else {
            setTimeout(now + timing.answerTimeout(), this::handleLostCall);
        }
        String query = currentCall == CallKind.FETCH ? "" : "?from=" + version + "&hold_ms=" + holdMillis;
        environment.sendToDiscovery(
                ("GET /v1/servers" + query + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private void setTimeout(long timeoutAt, LongConsumer onTimeout) {
        if (timeout != null) {
            timeout.cancel();
        }
        timeout = deadlines.schedule(timeoutAt, () -> onTimeout.accept(timeoutAt));
    }

    /** The connection has been established. */
    public void connected(long now) {
        isConnecting = false;
        isConnected = true;
        sendRequest(now);
    }

    /** Bytes have arrived; all of them are consumed. */
    public void received(long now, ByteBuffer bytes) {
        if (currentCall == CallKind.NONE) {
            bytes.position(bytes.limit());
            dropConnectionWithSurplusData();
            return;
        }
        if (!responseBegun) {
            setTimeout(now + Timing.RESPONSE_TIMEOUT_NANOS, this::failCall); // the response may never be completed
        }
        responseBegun = true;
        try {
            ResponseParser.Response response = parser.parse(bytes);
            if (response != null && bytes.hasRemaining()) {
                dropConnectionWithSurplusData(); // the response came first and counts
            }
            if (response != null) {
                handleResponse(now, response);
            }
        } catch (BadResponseException e) {
            logUnusableResponse(e.getMessage());
            failCall(now);
        }
        bytes.position(bytes.limit());
    }

    /** Ends the connection: what else comes on it could be taken for the response to a later call. */
    private void dropConnectionWithSurplusData() {
        environment.onSurplusData();
        disconnect();
    }

    /** Discovery has closed the connection in order, which completes a response without a length. */
    public void ended(long now) {
        handleDisconnect(now, parser.finishOnClose());
    }

    /** The connection could not be opened or was reset, which does not complete a response. */
    public void broken(long now) {
        handleDisconnect(now, null);
    }

    private void handleDisconnect(long now, ResponseParser.Response lastResponse) {
        boolean closedWhileIdle = isConnected && !isNewConnection && !responseBegun;
        isConnected = false;
        isConnecting = false;
        parser = new ResponseParser();
        if (currentCall == CallKind.NONE) {
            return;
        }
        if (lastResponse != null) {
            handleResponse(now, lastResponse);
        } else if (closedWhileIdle) {
            // The connection was closed while idle, which is no failure of this call. Changes that an agent received
            // since then count as known, so a watch of an agent becomes a check.
            currentCall = timing.isPushed() && currentCall == CallKind.WATCH ? CallKind.CHECK : currentCall;
            startCall(now);
        } else {
            failCall(now);
        }
    }

    private void handleResponse(long now, ResponseParser.Response response) {
        if (!response.reusable()) {
            disconnect();
        }
        if (response.status() != 200) {
            failCall(now);
            return;
        }
        try {
            ServerList list = ServerList.parse(new String(response.body(), StandardCharsets.UTF_8));
            if (answersEarlierCall(now, list)) {
                dropConnectionWithSurplusData();
                startCall(now);
                return;
            }
            finishCall();
            checkNeeded = false;
            badResponseLogged = false;
            version = list.version();
            // The next call is sent first: a watch ends if it is not renewed within 200 ms.
            startNextCall(now);
            environment.onServerList(now, list.isFull() ? ListKind.FULL : ListKind.DELTA, list.entries());
        } catch (ServerList.InvalidListException e) {
            logUnusableResponse(e.getMessage());
            failCall(now);
        }
    }

    /**
     * Whether a response may be surplus data behind the response to an earlier call on this connection. A watch is
     * answered before its hold time only with a newer version, and a copy brings one that is already held.
     */
    private boolean answersEarlierCall(long now, ServerList list) {
        return currentCall == CallKind.WATCH && !isNewConnection && list.version() <= version && now < holdEndsAt;
    }

    /** Logs why a response can't be used, once until a usable one arrives. */
    private void logUnusableResponse(String reason) {
        if (!badResponseLogged) {
            badResponseLogged = true;
            environment.log("discovery at " + host + " sent an unusable response (" + reason
                    + "); the previous list stays in use and is requested again");
        }
    }

    private void finishCall() {
        currentCall = CallKind.NONE;
        isSecondTry = false;
        if (timeout != null) {
            timeout.cancel();
        }
    }

    private void disconnect() {
        if (isConnected || isConnecting) {
            environment.closeDiscovery();
        }
        isConnected = false;
        isConnecting = false;
        parser = new ResponseParser();
    }

    /** A watch was not answered in time: closes its connection and checks for changes at once. */
    private void handleSilentWatch(long now) {
        disconnect();
        finishCall();
        checkNeeded = true;
        startNextCall(now);
        environment.onServerList(now, ListKind.SILENT, List.of());
    }

    /**
     * A call on an open connection got no response in time, not even a refusal, and counts as lost. It is repeated
     * once, at once and over a new connection: a wait as after a refusal could exceed the time in which a change must
     * be known.
     */
    private void handleLostCall(long now) {
        if (isSecondTry) {
            failCall(now);
            return;
        }
        isSecondTry = true;
        disconnect();
        startCall(now);
        environment.onServerList(now, ListKind.SILENT, List.of());
    }

    private void failCall(long now) {
        boolean callWasOpen = currentCall != CallKind.NONE;
        disconnect();
        finishCall();
        isFollowing = false;
        fullListRequested = false;
        checkNeeded = true; // changes made meanwhile are asked for by a call that is answered at once
        if (callWasOpen) {
            environment.onServerList(now, ListKind.FAILED, List.of());
        }
    }
}
