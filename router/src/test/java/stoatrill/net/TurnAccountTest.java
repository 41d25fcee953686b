package stoatrill.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A connection gets a bounded part of each turn, whatever the sizes of its messages. */
class TurnAccountTest {
    private static final int LARGE_MESSAGE_BYTES = 132 * 1024;
    private static final int TURN_COUNT = 100;

    private final TurnAccount account = new TurnAccount();

    @Test
    void hasNoCreditBeforeItsFirstTurn() {
        assertFalse(account.hasCredit());
    }

    @Test
    void aTurnAddsItsCreditOnce() {
        account.beginTurn(1);
        int messages = 0;
        while (account.hasCredit()) {
            account.chargeMessage(0);
            messages++;
            account.beginTurn(1);
        }
        assertEquals(32, messages);
    }

    @Test
    void unusedCreditIsNotSaved() {
        for (long turn = 1; turn <= TURN_COUNT; turn++) {
            account.beginTurn(turn);
        }
        account.chargeMessage((int) TurnAccount.QUANTUM_BYTES);
        assertFalse(account.hasCredit());
    }

    @Test
    void aLargeMessageIsPaidForInLaterTurns() {
        int messages = 0;
        for (long turn = 1; turn <= TURN_COUNT; turn++) {
            account.beginTurn(turn);
            if (account.hasCredit()) {
                account.chargeMessage(LARGE_MESSAGE_BYTES);
                messages++;
            }
        }
        long most = TURN_COUNT * TurnAccount.QUANTUM_BYTES / LARGE_MESSAGE_BYTES + 1;
        assertTrue(messages <= most, messages + " messages");
        assertTrue(account.chargedBytes() >= messages * (long) LARGE_MESSAGE_BYTES);
    }
}
