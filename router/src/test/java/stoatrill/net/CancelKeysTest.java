package stoatrill.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import stoatrill.io.FileReader;
import stoatrill.io.ForwardedCalls;
import stoatrill.io.SystemCalls;

class CancelKeysTest {
    /** The vector of the paper for eight bytes 00 to 07 under the key 00 to 0f. */
    @Test
    void theHashIsThatOfThePaper() {
        byte[] secret = new byte[16];
        for (int i = 0; i < secret.length; i++) {
            secret[i] = (byte) i;
        }
        assertEquals(0x93f5f5799a932462L, new CancelKeys(secret).hash(0x0706050403020100L));
    }

    @Test
    void noKeyIsInUseTwiceOrZeroAndProcessesDiffer() {
        FileReader files = new FileReader(SystemCalls.PLATFORM);
        CancelKeys keys = new CancelKeys(files);
        Set<Long> drawn = new HashSet<>();
        for (int i = 0; i < 1000; i++) {
            long key = keys.next(drawn::contains);
            assertNotEquals(0, key);
            drawn.add(key);
        }
        assertEquals(1000, drawn.size());
        assertNotEquals(new CancelKeys(files).hash(1), keys.hash(1));
    }

    @Test
    void aSourceThatCanNotBeReadLeavesKeysThatDiffer() {
        FileReader files = new FileReader(new ForwardedCalls(SystemCalls.PLATFORM) {
            @Override
            public byte[] readFirst(Path file, int bytes) throws IOException {
                throw new IOException("Input/output error");
            }
        });
        assertNotEquals(new CancelKeys(files).hash(1), new CancelKeys(files).hash(1));
    }
}
