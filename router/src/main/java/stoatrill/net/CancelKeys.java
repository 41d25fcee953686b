package stoatrill.net;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.security.SecureRandom;
import java.util.function.LongPredicate;
import stoatrill.io.FileReader;
import stoatrill.io.Opened;
import stoatrill.io.Outcome;

/**
 * Keys by which clients cancel, drawn so that nobody can guess another's: SipHash-2-4 (Aumasson and Bernstein, 2012) of
 * a counter under a secret of the process. The secret is read once, from the system's own source: loading the
 * platform's security providers would cost a start tens of milliseconds, and once clients are served no file is
 * needed. For one thread.
 */
final class CancelKeys {
    private static final String SOURCE = "/dev/urandom";
    private static final int SECRET_BYTES = 16;
    /** How often the source is asked before the platform's generator is. */
    private static final int TRIES = 8;

    private static final int BLOCK_ROUNDS = 2;
    private static final int FINAL_ROUNDS = 4;

    private final long first;
    private final long second;
    private long counter;

    /** Reads the secret. */
    CancelKeys(FileReader files) {
        this(secret(files));
    }

    /** With a secret of 16 bytes. */
    CancelKeys(byte[] secret) {
        ByteBuffer words = ByteBuffer.wrap(secret).order(ByteOrder.LITTLE_ENDIAN);
        first = words.getLong();
        second = words.getLong();
    }

    private static byte[] secret(FileReader files) {
        for (int n = 0; n < TRIES; n++) {
            Opened<byte[]> read = files.first(SOURCE, SECRET_BYTES);
            if (read.outcome() == Outcome.PROGRESS) {
                return read.value();
            }
        }
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return secret;
    }

    /** A key that is not in use; any 64 bits but 0, which is what a client that got none would send. */
    long next(LongPredicate inUse) {
        long key;
        do {
            key = hash(counter++);
        } while (key == 0 || inUse.test(key));
        return key;
    }

    /** SipHash-2-4 of the eight bytes of a word, the least first. */
    long hash(long word) {
        long[] state = {
            first ^ 0x736f6d6570736575L,
            second ^ 0x646f72616e646f6dL,
            first ^ 0x6c7967656e657261L,
            second ^ 0x7465646279746573L
        };
        absorb(state, word);
        absorb(state, (long) Long.BYTES << 56);
        state[2] ^= 0xff;
        rounds(state, FINAL_ROUNDS);
        return state[0] ^ state[1] ^ state[2] ^ state[3];
    }

    private static void absorb(long[] state, long block) {
        state[3] ^= block;
        rounds(state, BLOCK_ROUNDS);
        state[0] ^= block;
    }

    private static void rounds(long[] v, int count) {
        for (int n = 0; n < count; n++) {
            v[0] += v[1];
            v[1] = Long.rotateLeft(v[1], 13) ^ v[0];
            v[0] = Long.rotateLeft(v[0], 32);
            v[2] += v[3];
            v[3] = Long.rotateLeft(v[3], 16) ^ v[2];
            v[0] += v[3];
            v[3] = Long.rotateLeft(v[3], 21) ^ v[0];
            v[2] += v[1];
            v[1] = Long.rotateLeft(v[1], 17) ^ v[2];
            v[2] = Long.rotateLeft(v[2], 32);
        }
    }
}
