package stoatrill.lab.scale.hollow;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** The hollow routers of one process on one selector. One thread runs {@link #turn} and calls all else. */
final class HollowFleet implements AutoCloseable {
    private static final long MILLI = 1_000_000L;
    private static final long LONGEST_TURN = 1_000;

    /**
     * How the routers of a process are set up.
     *
     * @param port discovery's port on loopback
     * @param first the number of this process's first router
     * @param count how many routers this process has
     * @param routers how many there are in all processes
     * @param groups how many groups of servers there are
     * @param zones how many zones there are
     * @param seed of the whole fleet
     */
    record Setup(int port, int first, int count, int routers, int groups, int zones, long seed) {}

    /** A router that has something to do at a time of the monotonic clock; out of date if its time was set anew. */
    private record Wake(Slot slot, long at) {}

    /** One router's place in the process, which a router started anew takes over. */
    private static final class Slot {
        private final int number;
        private HollowRouter router;
        private long wakeAt = Long.MAX_VALUE;

        Slot(int number) {
            this.number = number;
        }
    }

    private final Setup setup;
    private final Selector selector = Selector.open();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(64 * 1024);
    private final List<Slot> slots = new ArrayList<>();
    private final PriorityQueue<Wake> wakes = new PriorityQueue<>(Comparator.comparingLong(Wake::at));
    private final HollowTally tally = new HollowTally();
    private double statementsPerSecond;
    private long brokenOfEnded;

    HollowFleet(Setup setup) throws IOException {
        this.setup = setup;
        for (int i = 0; i < setup.count(); i++) {
            slots.add(new Slot(setup.first() + i));
        }
    }

    /** Starts all routers that are not up. */
    void start() {
        for (Slot slot : slots) {
            if (slot.router == null) {
                start(slot);
            }
        }
    }

    private void start(Slot slot) {
        slot.router = new HollowRouter(
                slot.number,
                setup.groups(),
                RouterConfig.of(slot.number, setup.routers(), setup.zones(), setup.port(), setup.seed()),
                selector,
                tally);
        slot.router.start();
        slot.router.statements(statementsPerSecond);
        proceed(slot);
    }

    /** Ends all routers of a zone at once. */
    void kill(int zone) {
        for (Slot slot : slots) {
            if (slot.router != null && slot.number % setup.zones() == zone) {
                brokenOfEnded += slot.router.brokenInvariants();
                slot.router.end();
                slot.router = null;
                slot.wakeAt = Long.MAX_VALUE;
            }
        }
    }

    /** All routers that are up wait for something new to be told. */
    void await(String what) {
        routers().forEach(router -> router.await(Awaited.parse(what)));
    }

    void move(int port) {
        InetSocketAddress to = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        for (Slot slot : slots) {
            if (slot.router != null) {
                slot.router.move(to);
                proceed(slot);
            }
        }
    }

    void statements(double perSecond) {
        statementsPerSecond = perSecond;
        for (Slot slot : slots) {
            if (slot.router != null) {
                slot.router.statements(perSecond);
                proceed(slot);
            }
        }
    }

    private List<HollowRouter> routers() {
        return slots.stream()
                .filter(slot -> slot.router != null)
                .map(slot -> slot.router)
                .toList();
    }

    HollowCounts.Known known() {
        return new HollowCounts.Known(
                routers().size(),
                slots.stream()
                        .map(slot -> slot.router == null ? -1L : slot.router.knownAt())
                        .toList());
    }

    HollowCounts counts() {
        List<HollowRouter> up = routers();
        com.sun.management.OperatingSystemMXBean system =
                (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return new HollowCounts(
                System.nanoTime(),
                up.size(),
                tally.calls,
                tally.connects,
                tally.bytesIn,
                tally.bytesOut,
                tally.wholeLists,
                tally.changes,
                tally.silent,
                tally.failed,
                tally.serverConnections,
                tally.probes,
                tally.statements,
                tally.served,
                ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime(),
                system.getProcessCpuTime(),
                tally.wakes,
                up.stream().mapToLong(HollowRouter::peakBytesIn).max().orElse(0),
                brokenOfEnded
                        + up.stream().mapToLong(HollowRouter::brokenInvariants).sum());
    }

    /** Lets {@link #turn} return; may be called by any thread. */
    void wakeUp() {
        selector.wakeup();
    }

    /** Waits for the next thing to do, and does what there is. */
    void turn() throws IOException {
        long wait = wakes.isEmpty() ? Long.MAX_VALUE : wakes.peek().at() - System.nanoTime();
        if (wait <= 0) {
            selector.selectNow();
        } else {
            selector.select(Math.min(LONGEST_TURN, (wait - 1) / MILLI + 1));
        }
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid()) {
                DiscoverySocket socket = (DiscoverySocket) key.attachment();
                socket.handle(buffer);
                proceed(slots.get(socket.owner().number() - setup.first()));
            }
        }
        selector.selectedKeys().clear();
        wake();
    }

    private void wake() {
        long now = System.nanoTime();
        while (!wakes.isEmpty() && wakes.peek().at() <= now) {
            Wake wake = wakes.poll();
            if (wake.slot().wakeAt == wake.at() && wake.slot().router != null) {
                tally.wakes++;
                wake.slot().wakeAt = Long.MAX_VALUE;
                proceed(wake.slot());
            }
        }
    }

    private void proceed(Slot slot) {
        long wait = slot.router.proceed();
        long at = wait == Long.MAX_VALUE ? Long.MAX_VALUE : System.nanoTime() + Math.max(0, wait);
        if (at != slot.wakeAt) {
            slot.wakeAt = at;
            wakes.add(new Wake(slot, at));
        }
    }

    @Override
    public void close() throws IOException {
        routers().forEach(HollowRouter::end);
        selector.close();
    }
}
