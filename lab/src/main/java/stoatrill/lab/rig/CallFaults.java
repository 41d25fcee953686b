package stoatrill.lab.rig;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;

/**
 * What system calls of one process fail, by way of a file that the process's preloaded {@link CallFaultLibrary} maps
 * too. Changes take effect at the process's next call. May be used by any thread; the last change of a call counts.
 */
public final class CallFaults {
    /** The shares of calls are told in parts of so many. */
    private static final int WHOLE = 65_536;

    private static final int SLOT_WORDS = 8;
    private static final int MOST_ERRNOS = 4;
    private static final int SEEN = 5;
    private static final int FAILED = 6;

    private final Path file;
    private final LongBuffer words;

    /** Creates the file, with no call failing; {@code seed} draws which calls fail. */
    public CallFaults(Path file, long seed) throws IOException {
        this.file = file;
        int longs = SystemCall.values().length * SLOT_WORDS + 1;
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            words = channel.map(FileChannel.MapMode.READ_WRITE, 0, (long) longs * Long.BYTES)
                    .order(ByteOrder.nativeOrder())
                    .asLongBuffer();
        }
        words.put(longs - 1, seed);
    }

    /** The variables that a process is started with to be under these faults. */
    public Map<String, String> environment(CallFaultLibrary library) {
        return Map.of("LD_PRELOAD", library.file().toString(), "STOATRILL_CALL_FAULTS", file.toString());
    }

    /** Makes {@code share} (0 to 1) of the calls fail, each with one of the first four of {@code errors}. */
    public void fail(SystemCall call, double share, List<Errno> errors) {
        for (int i = 0; i < MOST_ERRNOS; i++) {
            words.put(word(call, 1 + i), i < errors.size() ? errors.get(i).number() : 0);
        }
        words.put(word(call, 0), Math.round(share * WHOLE));
    }

    /** Lets all calls of this kind succeed again. */
    public void heal(SystemCall call) {
        words.put(word(call, 0), 0);
    }

    /** Sets the wall clock of the process apart from the machine's by so many nanoseconds; 0 sets it right. */
    public void stepWallClock(long nanos) {
        words.put(word(SystemCall.WALL_CLOCK, 0), nanos);
    }

    /** How many calls of this kind the process has made. */
    public long seen(SystemCall call) {
        return words.get(word(call, SEEN));
    }

    /** How many of them were made to fail. */
    public long failed(SystemCall call) {
        return words.get(word(call, FAILED));
    }

    private static int word(SystemCall call, int place) {
        return call.slot() * SLOT_WORDS + place;
    }
}
