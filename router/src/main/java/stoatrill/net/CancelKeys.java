package stoatrill.net;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.security.SecureRandom;
import java.util.function.LongPredicate;
import stoatrill.io.CallResult;
import stoatrill.io.FileReader;
import stoatrill.io.Outcome;

/**
 * Generates the keys by which clients cancel requests. A key can't be guessed by other clients: it is the SipHash-2-4
 * (Aumasson and Bernstein, 2012) of a counter under a secret of the process. The secret is read once from the system's
 * random source, since loading the platform's security providers would delay the start by tens of milliseconds; no file
 * is needed once clients are served. Not thread-safe.
 */
final class CancelKeys {
    private static final String RANDOM_SOURCE = "/dev/urandom";
    private static final int SECRET_BYTES = 16;
    /** Attempts to read the random source before the platform's generator is used. */
    private static final int READ_ATTEMPT_LIMIT = 8;

    private static final int BLOCK_ROUND_COUNT = 2;
    private static final int FINAL_ROUND_COUNT = 4;

    private final long firstKeyWord;
    private final long secondKeyWord;
    private long counter;

    /** Creates a generator with a random secret. */
    CancelKeys(FileReader files) {
        this(readSecret(files));
    }

    /** Creates a generator with the given secret of 16 bytes. */
    CancelKeys(byte[] secret) {
        ByteBuffer words = ByteBuffer.wrap(secret).order(ByteOrder.LITTLE_ENDIAN);
        firstKeyWord = words.getLong();
        secondKeyWord = words.getLong();
    }

    private static byte[] readSecret(FileReader files) {
        for (int attempt = 0; attempt < READ_ATTEMPT_LIMIT; attempt++) {
            CallResult<byte[]> read = files.readFirstBytes(RANDOM_SOURCE, SECRET_BYTES);
            if (read.outcome() == Outcome.PROGRESS) {
                return read.value();
            }
        }
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return secret;
    }

    /** Returns a key that is not in use. It is never 0, which is what a client without a key would send. */
    long nextKey(LongPredicate inUse) {
        long key;
        do {
            key = hash(counter++);
        } while (key == 0 || inUse.test(key));
        return key;
    }

    /** Returns the SipHash-2-4 of the eight bytes of a word in little-endian order. */
    long hash(long word) {
        long[] state = {
            firstKeyWord ^ 0x736f6d6570736575L,
            secondKeyWord ^ 0x646f72616e646f6dL,
            firstKeyWord ^ 0x6c7967656e657261L,
            secondKeyWord ^ 0x7465646279746573L
        };
        absorb(state, word);
        absorb(state, (long) Long.BYTES << 56);
        state[2] ^= 0xff;
        applyRounds(state, FINAL_ROUND_COUNT);
        return state[0] ^ state[1] ^ state[2] ^ state[3];
    }

    private static void absorb(long[] state, long block) {
        state[3] ^= block;
        applyRounds(state, BLOCK_ROUND_COUNT);
        state[0] ^= block;
    }

    private static void applyRounds(long[] state, int count) {
        for (int n = 0; n < count; n++) {
            state[0] += state[1];
            state[1] = Long.rotateLeft(state[1], 13) ^ state[0];
            state[0] = Long.rotateLeft(state[0], 32);
            state[2] += state[3];
            state[3] = Long.rotateLeft(state[3], 16) ^ state[2];
            state[0] += state[3];
            state[3] = Long.rotateLeft(state[3], 21) ^ state[0];
            state[2] += state[1];
            state[1] = Long.rotateLeft(state[1], 17) ^ state[2];
            state[2] = Long.rotateLeft(state[2], 32);
        }
    }
}
