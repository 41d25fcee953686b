package stoatrill.lab.flood;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import stoatrill.lab.rig.Wait;

/** Clients are answered in time though some servers send messages without end. */
@Timeout(60)
class LateForFloodingNodesTest {
    private static final int FLOODING_NODES_COUNT = 2;
    private static final int PROBES_COUNT = 300;
    private static final long MOST_RESIDENT_KIB = 192 * 1024L;

    private final List<FloodingNode> nodes = new ArrayList<>();
    private int nodeCount;

    @ParameterizedTest
    @EnumSource
    void clientsAreAnsweredInTime(FloodingNode.Kind kind, @TempDir Path dir) throws Exception {
        try (FloodRig routers = new FloodRig(dir, address -> front(kind, address))) {
            Probes flooded = new Probes(routers.flooded().port());
            Probes quiet = new Probes(routers.quiet().port());
            try (flooded;
                    quiet) {
                Wait.until(() -> flooded.count() >= PROBES_COUNT && sentBytes() > 0);
            }
            System.out.printf(
                    "%s: %.1f MB sent, slowest probe %.0f ms (quiet router %.0f ms), %d KiB resident%n",
                    kind,
                    sentBytes() / 1e6,
                    FloodVerdict.slowestNanos(flooded.results()) / 1e6,
                    FloodVerdict.slowestNanos(quiet.results()) / 1e6,
                    routers.residentKib());
            assertEquals(List.of(), FloodVerdict.lost(flooded.results(), quiet.results()));
            assertTrue(routers.residentKib() <= MOST_RESIDENT_KIB);
            assertEquals(List.of(), routers.troubles());
        } finally {
            for (FloodingNode node : nodes) {
                node.close();
            }
        }
    }

    private long sentBytes() {
        return nodes.stream().mapToLong(FloodingNode::sentBytes).sum();
    }

    /** The last nodes flood; the primary is the first one. */
    private InetSocketAddress front(FloodingNode.Kind kind, InetSocketAddress address) {
        if (nodeCount++ < FloodRig.NODES_COUNT - FLOODING_NODES_COUNT) {
            return address;
        }
        try {
            FloodingNode node = new FloodingNode(kind);
            nodes.add(node);
            return node.address();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
