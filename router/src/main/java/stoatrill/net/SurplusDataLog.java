package stoatrill.net;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts data that servers and discovery send beyond their answers, and logs it with the peer's address. Of a flood of
 * it, most is only counted. For the event loop's thread alone.
 */
final class SurplusDataLog {
    private static final Logger LOG = LoggerFactory.getLogger(SurplusDataLog.class);
    private static final long NANOS_PER_MICRO = 1_000L;

    private final Consumer<String> counter;
    private final LogThrottle lines;

    /**
     * Creates a log.
     *
     * @param counter receives the circumstance of each event, one of few texts
     * @param lines limits the lines
     */
    SurplusDataLog(Consumer<String> counter, LogThrottle lines) {
        this.counter = counter;
        this.lines = lines;
    }

    /** Records that a server has sent surplus data, {@code sinceAnswerNanos} after its last answer was complete. */
    void recordServer(InetSocketAddress endpoint, String circumstance, long sinceAnswerNanos) {
        counter.accept(circumstance);
        if (lines.permits(System.nanoTime())) {
            LOG.info(
                    "server {} sent surplus data {}, {} us after its last answer was complete",
                    endpoint,
                    circumstance,
                    sinceAnswerNanos / NANOS_PER_MICRO);
        }
    }

    /** Records that discovery has sent surplus data. */
    void recordDiscovery(InetSocketAddress address) {
        counter.accept("from discovery");
        if (lines.permits(System.nanoTime())) {
            LOG.info("discovery at {} sent surplus data; its connection is closed", address);
        }
    }
}
