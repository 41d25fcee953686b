package stoatrill.lab.flood;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** What each of hundreds of clients does that are connected at once. */
public enum CrowdKind {
    /** Sends several statements whose comments have thousands of short fields. */
    MANY_FIELDS {
        @Override
        byte[] input() {
            byte[] query = FloodKind.MANY_FIELDS.message(0);
            byte[] input = new byte[STATEMENT_COUNT * query.length];
            for (int i = 0; i < STATEMENT_COUNT; i++) {
                System.arraycopy(query, 0, input, i * query.length, query.length);
            }
            return input;
        }
    },
    /** Stops half way through a large upload and stays. */
    HALF_UPLOADS {
        @Override
        byte[] input() {
            byte[] upload = largeUpload();
            return Arrays.copyOf(upload, upload.length / 2);
        }
    },
    /** Writes a large upload in small pieces. */
    SLOW_WRITES {
        @Override
        byte[] input() {
            return largeUpload();
        }

        @Override
        int pieceBytes() {
            return SLOW_PIECE_BYTES;
        }
    },
    /** Sends thousands of messages with small replies behind a write that no server answers. */
    HELD_BACK_REPLIES {
        @Override
        byte[] input() {
            byte[] write = WireMessages.write(UNIQUE_ID, HELD_WAIT_MILLIS);
            byte[] sync = FloodKind.SYNCS.message(0);
            byte[] input = Arrays.copyOf(write, write.length + SYNC_COUNT * sync.length);
            for (int i = 0; i < SYNC_COUNT; i++) {
                System.arraycopy(sync, 0, input, write.length + i * sync.length, sync.length);
            }
            return input;
        }
    },
    /** Stops in the middle of a startup message with very many parameters. */
    HALF_STARTUPS {
        @Override
        byte[] startup() {
            byte[] startup = FloodKind.NEW_USERS.message(0);
            return Arrays.copyOf(startup, startup.length - 1);
        }

        @Override
        byte[] input() {
            return new byte[0];
        }
    };

    /** Replaced by an id of the client's own. */
    static final String UNIQUE_ID = "crowd-00000";

    private static final long HELD_WAIT_MILLIS = 20_000;
    private static final int SYNC_COUNT = 100_000;
    private static final int STATEMENT_COUNT = 8;
    private static final int VALUE_BYTES = 64 * 1024;
    private static final int SLOW_PIECE_BYTES = 1000;

    /** What a client begins its connection with. */
    byte[] startup() {
        return WireMessages.startup("svc", "");
    }

    /** What a client sends after its startup. */
    abstract byte[] input();

    /** How much a client writes before it lets others write. */
    int pieceBytes() {
        return Integer.MAX_VALUE;
    }

    private static byte[] largeUpload() {
        String statement = "INSERT INTO records (k, v) VALUES ('station-1', '\\x" + "7f".repeat(VALUE_BYTES)
                + "') RETURNING v /* id=crowd,c=reading-upload,d=400,cluster=0 */";
        return WireMessages.message('Q', (statement + "\0").getBytes(StandardCharsets.US_ASCII));
    }
}
