package stoatrill.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import stoatrill.contract.Contracts;

/** Checks the waits that the contract gate advises, and how long it counts a group as short of capacity. */
class ContractGateTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    @Test
    void advisesAWaitUntilThereIsRoomWithJitter() throws Exception {
        ContractGate gate =
                new ContractGate(Contracts.parse("c", "team a {\n rate 1/m\n burst 1\n}\n"), 3, 100 * NANOS_PER_SECOND);
        assertEquals(0, gate.admit(0, false, 100 * NANOS_PER_SECOND));
        java.util.Set<Long> waits = new java.util.HashSet<>();
        for (int i = 0; i < 50; i++) {
            long wait = gate.admit(0, false, 100 * NANOS_PER_SECOND);
            assertTrue(wait >= 60 * NANOS_PER_SECOND && wait <= 75 * NANOS_PER_SECOND, "wait " + wait);
            waits.add(wait);
        }
        assertTrue(waits.size() > 40, "a team's clients get different waits");
    }

    @Test
    void marksAGroupShortFor200MillisecondsAfterARefusal() throws Exception {
        ContractGate gate = new ContractGate(Contracts.parse("c", "team a {\n}\n"), 3, 0);
        gate.markShort(4, 10 * NANOS_PER_SECOND);
        assertTrue(gate.isShort(4, 10 * NANOS_PER_SECOND + 199_000_000));
        assertTrue(!gate.isShort(4, 10 * NANOS_PER_SECOND + 200_000_000) && !gate.isShort(5, 10 * NANOS_PER_SECOND));
    }
}
