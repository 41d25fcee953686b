package stoatrill.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import stoatrill.io.FileReader;
import stoatrill.io.ForwardingCalls;
import stoatrill.io.SystemCalls;

class CancelKeysTest {
    /** The test vector of the SipHash paper for the eight bytes 00 to 07 under the key 00 to 0f. */
    @Test
    void hashMatchesPublishedTestVector() {
        byte[] secret = new byte[16];
        for (int i = 0; i < secret.length; i++) {
            secret[i] = (byte) i;
        }
        assertEquals(0x93f5f5799a932462L, new CancelKeys(secret).hash(0x0706050403020100L));
    }

    @Test
    void keysAreUniqueNonZeroAndDifferBetweenProcesses() {
        FileReader files = new FileReader(SystemCalls.PLATFORM);
        CancelKeys keys = new CancelKeys(files);
        Set<Long> usedKeys = new HashSet<>();
        for (int i = 0; i < 1000; i++) {
            long key = keys.nextKey(usedKeys::contains);
            assertNotEquals(0, key);
            usedKeys.add(key);
        }
        assertEquals(1000, usedKeys.size());
        assertNotEquals(new CancelKeys(files).hash(1), keys.hash(1));
    }

    @Test
    void keysDifferWhenRandomSourceIsUnreadable() {
        FileReader files = new FileReader(new ForwardingCalls(SystemCalls.PLATFORM) {
            @Override
            public byte[] readFirstBytes(Path file, int bytes) throws IOException {
                throw new IOException("Input/output error");
            }
        });
        assertNotEquals(new CancelKeys(files).hash(1), new CancelKeys(files).hash(1));
    }
}
