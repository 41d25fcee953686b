package stoatrill.lab.flood;

import java.nio.charset.StandardCharsets;

/** What a flooding client sends, over and over. */
public enum FloodKind {
    /** Requests for TLS without a startup message. */
    TLS_REQUESTS(false, false) {
        @Override
        byte[] message(long number) {
            return WireMessages.encryptionRequest(WireMessages.SSL_REQUEST_CODE);
        }
    },
    /** Requests for GSSAPI encryption without a startup message. */
    GSS_REQUESTS(false, false) {
        @Override
        byte[] message(long number) {
            return WireMessages.encryptionRequest(WireMessages.GSS_ENCRYPTION_REQUEST_CODE);
        }
    },
    EMPTY_QUERIES(true, false) {
        @Override
        byte[] message(long number) {
            return WireMessages.query("");
        }
    },
    SYNCS(true, false) {
        @Override
        byte[] message(long number) {
            return WireMessages.message('S', new byte[0]);
        }
    },
    /** Messages that are due no reply. */
    FLUSHES(true, false) {
        @Override
        byte[] message(long number) {
            return WireMessages.message('H', new byte[0]);
        }
    },
    UNPARSABLE_STATEMENTS(true, false) {
        @Override
        byte[] message(long number) {
            return WireMessages.query("SELECT 1 + " + number);
        }
    },
    /** Extended-protocol messages; all but the first are discarded for lack of a Sync. */
    PARSES(true, false) {
        @Override
        byte[] message(long number) {
            return WireMessages.message('P', ("s" + number + "\0SELECT 1\0\0\0").getBytes(StandardCharsets.US_ASCII));
        }
    },
    /** A failing message and the Sync that ends its failure, so that each pair is answered. */
    PARSES_AND_SYNCS(true, false) {
        @Override
        byte[] message(long number) {
            return number % 2 == 0 ? PARSES.message(number) : SYNCS.message(number);
        }
    },
    /** Reads under ever new ids, of classes and groups that do not exist. */
    NEW_NAMES(true, false) {
        @Override
        byte[] message(long number) {
            return WireMessages.read("n" + number, "class" + number, REQUEST_WAIT_MILLIS, (int) (number % 100_000));
        }
    },
    /** Reads that servers could answer, under ever new ids. */
    READS(true, false) {
        @Override
        byte[] message(long number) {
            return WireMessages.read(uniqueId(number), "archive-read", REQUEST_WAIT_MILLIS, 0);
        }
    },
    /** Reads with the longest wait that a router accepts, most of which it has to refuse. */
    PATIENT_READS(true, false) {
        @Override
        byte[] message(long number) {
            return WireMessages.read(uniqueId(number), "archive-read", LONGEST_WAIT_MILLIS, 0);
        }
    },
    /** Statements whose comments have thousands of short fields. */
    MANY_FIELDS(true, false) {
        @Override
        byte[] message(long number) {
            return MANY_FIELDS_QUERY;
        }
    },
    /** Startup messages with hundreds of parameters, each on a new connection under a new user. */
    NEW_USERS(false, true) {
        @Override
        byte[] message(long number) {
            return WireMessages.startup("user" + number, "p\0v\0".repeat(STARTUP_PARAMETER_COUNT));
        }
    },
    /** Cancel requests with wrong keys, each on a new connection. */
    CANCELS(false, true) {
        @Override
        byte[] message(long number) {
            return WireMessages.cancelRequest(number);
        }
    },
    /** A message of an unknown type, which ends the connection; the client comes back at once. */
    UNKNOWN_TYPES(true, true) {
        @Override
        byte[] message(long number) {
            return WireMessages.message('~', new byte[0]);
        }
    };

    private static final long REQUEST_WAIT_MILLIS = 400;
    private static final long LONGEST_WAIT_MILLIS = 30_000;
    private static final int FIELD_COUNT = 15_000;
    private static final int STARTUP_PARAMETER_COUNT = 2_000;
    private static final byte[] MANY_FIELDS_QUERY = WireMessages.query(
            "SELECT v FROM records WHERE k = 'station-1' /* " + "abcd=ef,".repeat(FIELD_COUNT) + "c=none,d=1 */");

    private final boolean startsUp;
    private final boolean usesNewConnections;

    FloodKind(boolean startsUp, boolean usesNewConnections) {
        this.startsUp = startsUp;
        this.usesNewConnections = usesNewConnections;
    }

    /** The message with the given number, which counts from zero over all clients of a flood. */
    abstract byte[] message(long number);

    /** Whether a connection begins with a startup message. */
    boolean startsUp() {
        return startsUp;
    }

    /** Whether each message goes out on a connection of its own. */
    boolean usesNewConnections() {
        return usesNewConnections;
    }

    private static String uniqueId(long number) {
        return "flood-" + number;
    }
}
