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
