package stoatrill.lab.scale.faketime;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import stoatrill.lab.sim.EventWheel;

/**
 * Discovery as the protocol has it: it takes calls in turn, each for the same time, fails one that waits for over
 * 2 s, and lets a watch wait for a change beside the queue. To write an answer costs it nothing, and bytes take no
 * time. Counts calls and bytes by second.
 */
final class DiscoveryModel {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long LONGEST_QUEUE = 2 * SECOND;

    /** One call. A version below 0 asks for the whole list; spans in nanoseconds. */
    static final class Call {
        private final ModelRouter router;
        private final int connection;
        private final long from;
        private final long until;
        private boolean taken;

        /**
         * @param connection the router's number of the connection that the call came over
         * @param until when a watch is answered at the latest
         */
        Call(ModelRouter router, int connection, long from, long until) {
            this.router = router;
            this.connection = connection;
            this.from = from;
            this.until = until;
        }
    }

    /** What came in and went out in one second or over a span. */
    record Traffic(long calls, long wholeLists, long failed, long bytes) {
        private static final Traffic NONE = new Traffic(0, 0, 0, 0);
    }

    private final EventWheel time;
    private final ModelList list;
    private final long turn;
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private final List<Call> watches = new ArrayList<>();
    private boolean serving;
    private final List<Traffic> bySecond = new ArrayList<>();
    private final long start;

    DiscoveryModel(EventWheel time, ModelList list, double callsPerSecond) {
        this.time = time;
        this.list = list;
        this.turn = (long) (SECOND / callsPerSecond);
        this.start = time.now();
    }

    /** A call has come in, of so many bytes. */
    void arrived(Call call, int bytes) {
        count(1, 0, 0, bytes);
        queue.add(call);
        time.at(time.now() + LONGEST_QUEUE, () -> giveUp(call));
        if (!serving) {
            serveNext();
        }
    }

    private void giveUp(Call call) {
        if (!call.taken) {
            call.taken = true;
            count(0, 0, 1, 0);
            reply(call, "503 Busy", new byte[0]);
        }
    }

    private void serveNext() {
        Call call = queue.poll();
        while (call != null && (call.taken || !call.router.waitsOn(call.connection))) {
            call.taken = true; // given up meanwhile
            call = queue.poll();
        }
        serving = call != null;
        if (serving) {
            Call next = call;
            next.taken = true;
            time.at(time.now() + turn, () -> {
                serve(next);
                serveNext();
            });
        }
    }

    private void serve(Call call) {
        if (call.from < 0) {
            count(0, 1, 0, 0);
            reply(call, "200 OK", list.whole());
        } else if (call.from < list.version() || call.until <= time.now()) {
            answer(call);
        } else {
            watches.add(call);
            time.at(call.until, () -> {
                if (watches.remove(call)) {
                    answer(call);
                }
            });
        }
    }

    /** One server's entry changes: all that watch are answered at once. */
    void change(int server) {
        list.change(server);
        List<Call> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(this::answer);
    }

    private void answer(Call call) {
        reply(call, "200 OK", list.changesAfter(call.from));
    }

    private void reply(Call call, String status, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        count(0, 0, 0, head.length + body.length);
        call.router.answered(call.connection, head, body);
    }

    private void count(long calls, long wholeLists, long failed, long bytes) {
        int second = (int) ((time.now() - start) / SECOND);
        while (bySecond.size() <= second) {
            bySecond.add(Traffic.NONE);
        }
        Traffic before = bySecond.get(second);
        bySecond.set(
                second,
                new Traffic(
                        before.calls + calls,
                        before.wholeLists + wholeLists,
                        before.failed + failed,
                        before.bytes + bytes));
    }

    /** What came and went between two times. */
    Traffic between(long from, long until) {
        return seconds(from, until).stream()
                .reduce(
                        Traffic.NONE,
                        (a, b) -> new Traffic(
                                a.calls + b.calls,
                                a.wholeLists + b.wholeLists,
                                a.failed + b.failed,
                                a.bytes + b.bytes));
    }

    /** The most calls, and the most of all else, that a second between two times had; not all of one second. */
    Traffic worstSecond(long from, long until) {
        return seconds(from, until).stream()
                .reduce(
                        Traffic.NONE,
                        (a, b) -> new Traffic(
                                Math.max(a.calls, b.calls),
                                Math.max(a.wholeLists, b.wholeLists),
                                Math.max(a.failed, b.failed),
                                Math.max(a.bytes, b.bytes)));
    }

    private List<Traffic> seconds(long from, long until) {
        int first = (int) ((from - start) / SECOND);
        int end = (int) Math.min(bySecond.size(), (until - start) / SECOND);
        return first >= end ? List.of() : bySecond.subList(first, end);
    }
}
