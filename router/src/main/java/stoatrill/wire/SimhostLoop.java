package stoatrill.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import stoatrill.Decide;
import stoatrill.Gateway;

/** Hosts many instances of the module: reads batches, passes their events to the instances, and writes the replies. */
public final class SimhostLoop {
    private static final int MEMBER_BYTES = 28;
    private static final int LIST_SLOT_COUNT = 16;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final BatchReader input;
    private final OutputStream output;
    private final ReplyWriter reply = new ReplyWriter();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<Gateway.ListEntry>> memberLists = new ArrayList<>();

    /** Creates a loop over these streams, which it does not close. */
    public SimhostLoop(InputStream input, OutputStream output) {
        this.input = new BatchReader(input);
        this.output = output;
        for (int i = 0; i < LIST_SLOT_COUNT; i++) {
            memberLists.add(null);
        }
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws MalformedInputException if the input violates the protocol
     */
    public void run() throws IOException {
        while (input.readBatch()) {
            handleBatch();
            reply.flush(output);
        }
    }

    private void handleBatch() throws MalformedInputException {
        try {
            long now = input.u64();
            int instanceNumber = -1;
            while (input.hasMore()) {
                int code = input.readCode();
                if (code == 120) {
                    instanceNumber = input.u32();
                } else if (code == 110) {
                    readMemberList();
                } else if (instanceNumber < 0) {
                    throw input.malformed("event " + code + " before the first AT");
                } else if (code == 10) {
                    createInstance(instanceNumber);
                } else if (code == 100) {
                    instances.remove(instanceNumber);
                } else {
                    Instance instance = instances.get(instanceNumber);
                    if (instance == null) {
                        throw input.malformed(
                                "event " + code + " for instance " + instanceNumber + ", which does not exist");
                    }
                    handleEvent(instance, now, code);
                }
            }
        } catch (BufferUnderflowException e) {
            throw input.truncated(e);
        }
    }

    private void createInstance(int instanceNumber) throws MalformedInputException {
        long seed = input.u64();
        SettingsParser.Setup setup = SettingsParser.parse(input.text(input.count(1)));
        Instance instance = new Instance(instanceNumber, setup, reply);
        instances.put(instanceNumber, instance);
        instance.runGuarded(() -> instance.module = new Decide(instance, setup.settings(), seed));
    }

    private void readMemberList() throws MalformedInputException {
        int slot = input.u32();
        if (slot >= LIST_SLOT_COUNT) {
            throw input.malformed("invalid list number " + slot);
        }
        int count = input.count(MEMBER_BYTES);
        List<Gateway.ListEntry> members = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            boolean isPrimary = input.f32() == 1f;
            int model = input.u8();
            long startedAt = input.u64();
            double size = input.f32();
            int zone = input.u16();
            long server = input.server();
            int group = input.u16();
            int state = input.u8();
            members.add(new Gateway.ListEntry(
                    server,
                    group,
                    zone,
                    model,
                    size,
                    startedAt,
                    isPrimary,
                    switch (state) {
                        case 0 -> Gateway.ListedState.READY;
                        case 2 -> Gateway.ListedState.DRAINING;
                        case 3 -> Gateway.ListedState.GONE;
                        default -> throw input.malformed("unknown server state " + state);
                    }));
        }
        memberLists.set(slot, members);
    }

    private void handleEvent(Instance instance, long now, int code) throws MalformedInputException {
        switch (code) {
            case 20 -> { // list of servers
                int kindCode = input.u8();
                input.u32Long();
                Gateway.ListKind kind =
                        switch (kindCode) {
                            case 0 -> Gateway.ListKind.DELTA;
                            case 1 -> Gateway.ListKind.FULL;
                            case 2 -> Gateway.ListKind.CACHED;
                            case 3 -> Gateway.ListKind.FAILED;
                            default -> throw input.malformed("unknown list kind " + kindCode);
                        };
                long slot = input.u32Long();
                List<Gateway.ListEntry> members = List.of();
                if (kind != Gateway.ListKind.FAILED) {
                    members = slot < LIST_SLOT_COUNT ? memberLists.get((int) slot) : null;
                    if (members == null) {
                        throw input.malformed("no list with number " + slot);
                    }
                }
                List<Gateway.ListEntry> list = members;
                instance.runGuarded(() -> instance.module.onServerList(now, kind, list));
            }
            case 30 -> { // request
                long id = input.u64();
                long key = input.u64();
                int group = (int) input.f32();
                long deadline = input.u64();
                input.u64();
                long tokenAge = (long) Math.floor((double) input.f32() * NANOS_PER_MILLI);
                int flags = input.u8();
                int tenant = input.u32();
                int kind = input.u16();
                if (kind >= instance.settings.classes().size()) {
                    throw input.malformed("unknown request class " + kind);
                }
                if (tenant > 0 && tenant >= instance.settings.tenants().size()) {
                    throw input.malformed("unknown tenant " + tenant);
                }
                instance.runGuarded(() -> instance.module.onRequest(
                        now, id, key, group, deadline, tokenAge, (flags & 2) != 0, kind, tenant));
            }
            case 40 -> { // streamed answer has begun
                long id = input.u64();
                input.u64();
                int attempt = input.u8();
                long server = input.server();
                instance.runGuarded(() -> instance.module.onAnswerBegun(now, id, attempt, server));
            }
            case 50 -> { // outcome of an attempt
                long id = input.u64();
                int attempt = input.u8();
                long server = input.server();
                Gateway.Result result = result(input.u16());
                long tookNanos = input.u64();
                boolean isRequestOver = input.bool();
                long positionAndRole = input.u32Long();
                Gateway.Report report = instance.report(input.report());
                long position = positionAndRole >>> 2 == 0
                        ? Gateway.NO_POSITION
                        : instance.positionOrigin + (positionAndRole >>> 2) * NANOS_PER_MILLI;
                Gateway.Role role = role((int) (positionAndRole & 3));
                instance.runGuarded(() -> instance.module.onAttemptEnded(
                        now, id, attempt, server, result, tookNanos, isRequestOver, position, role, report));
            }
            case 60 -> { // client has left
                long id = input.u64();
                instance.runGuarded(() -> instance.module.onClientLeft(now, id));
            }
            case 70 -> { // timer is due
                long token = input.u64();
                instance.runGuarded(() -> instance.module.onTimer(now, token));
            }
            case 80 -> { // result of a probe
                long server = input.server();
                long tookNanos = input.u64();
                Gateway.Result result = result(input.u16());
                Gateway.Report report = instance.report(input.report());
                instance.runGuarded(() -> instance.module.onProbeEnded(now, server, tookNanos, result, report));
            }
            case 90 -> { // message from a peer
                int from = input.u32();
                byte[] message = input.bytes(input.u16());
                instance.runGuarded(() -> instance.module.onPeerMessage(now, from, message));
            }
            default -> throw input.malformed("unknown event code " + code);
        }
    }

    private Gateway.Result result(int code) throws MalformedInputException {
        return switch (code) {
            case 10 -> Gateway.Result.OK;
            case 20 -> Gateway.Result.ERROR;
            case 30 -> Gateway.Result.FULL;
            case 40 -> Gateway.Result.TIMEOUT;
            case 50 -> Gateway.Result.CONNECT_FAILED;
            case 60 -> Gateway.Result.RESET;
            case 70 -> Gateway.Result.CANCELLED;
            case 80 -> Gateway.Result.MOOT;
            case 90 -> Gateway.Result.MISS;
            default -> throw input.malformed("unknown outcome " + code);
        };
    }

    private static Gateway.Role role(int code) {
        return code == 1 ? Gateway.Role.PRIMARY : code == 2 ? Gateway.Role.REPLICA : Gateway.Role.UNKNOWN;
    }

    /** One instance of the module; adds its actions to the reply. */
    private static final class Instance implements Gateway {
        private final int number;
        private final Settings settings;
        private final long positionOrigin;
        private final List<String> reportColumns;
        private final ReplyWriter reply;
        private Decide module;

        Instance(int number, SettingsParser.Setup setup, ReplyWriter reply) {
            this.number = number;
            this.settings = setup.settings();
            this.positionOrigin = setup.positionOrigin();
            this.reportColumns = setup.reportColumns();
            this.reply = reply;
        }

        /**
         * Runs an event. An exception of the module goes out as an internal error, which ends the run but not the
         * process.
         */
        void runGuarded(Runnable event) {
            try {
                event.run();
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                reply.internalError(number, e + (trace.length > 0 ? " at " + trace[0] : ""));
            }
        }

        /** Converts a load report for the module; its position is a lower bound and therefore rounded down. */
        Report report(float[] values) {
            if (values == null) {
                return null;
            }
            long position = NO_POSITION;
            Role role = Role.UNKNOWN;
            double waiting = -1;
            double held = -1;
            for (int i = 0; i < values.length && i < reportColumns.size(); i++) {
                switch (reportColumns.get(i)) {
                    case "x0" -> position = positionOrigin + (long) Math.floor(Math.nextDown(values[i]) * 1e9);
                    case "x1" -> role = values[i] == 1f ? Role.PRIMARY : Role.REPLICA;
                    case "q" -> waiting = values[i];
                    case "rif" -> held = values[i];
                    default -> {}
                }
            }
            return new Report(position, role, waiting, held);
        }

        @Override
        public void sendAttempt(long request, long server, long timeoutNanos) {
            reply.send(number, request, server, timeoutNanos);
        }

        @Override
        public void refuse(long request, long retryAfterNanos) {
            reply.refuse(number, request, retryAfterNanos);
        }

        @Override
        public void fail(long request) {
            reply.fail(number, request);
        }

        @Override
        public void cancelAttempt(long request, int attempt) {
            reply.cancel(number, request, attempt);
        }

        @Override
        public void startTimer(long delayNanos, long token) {
            reply.timer(number, delayNanos, token);
        }

        @Override
        public void probeServer(long server) {
            reply.probe(number, server);
        }

        @Override
        public void closeIdleConnections(long server) {
            reply.dropIdle(number, server);
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            reply.tell(number, peer, message);
        }

        @Override
        public void watchServerList(boolean enabled) {
            reply.follow(number, enabled);
        }

        @Override
        public void fetchServerList() {
            reply.fetch(number);
        }

        @Override
        public void log(String line) {
            reply.log(number, line);
        }
    }
}
