package stoatrill.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A client's bytes count in the totals while it is there, and not afterwards. */
class ClientAccountTest {
    private static final int MEBIBYTE = 1 << 20;
    private static final int CLIENT_COUNT = 2;

    private final InputBudget inputBudget = new InputBudget();
    private final UnreadAnswers unreadAnswers = new UnreadAnswers();
    private final ClientAccount account = new ClientAccount(inputBudget, unreadAnswers);
    private final ClientAccount other = new ClientAccount(inputBudget, unreadAnswers);

    @Test
    void inputCountsUntilTheClientLeaves() {
        account.update(MEBIBYTE, 8 * MEBIBYTE, 0);
        assertTrue(inputBudget.isExhausted());
        assertFalse(account.hasInputRoom(CLIENT_COUNT));
        assertEquals(0, account.readableBytes(CLIENT_COUNT, true));
        assertTrue(other.readableBytes(CLIENT_COUNT, true) > 0, "another client is read all the same");
        account.close();
        assertFalse(inputBudget.isExhausted());
        assertEquals(0, account.unparsedBytes());
    }

    @Test
    void theLastUpdateCountsAlone() {
        for (int i = 0; i < 100; i++) {
            account.update(MEBIBYTE, MEBIBYTE, MEBIBYTE);
        }
        assertFalse(inputBudget.isExhausted());
        assertEquals(MEBIBYTE, account.unreadBytes());
    }

    @Test
    void unreadAnswersCountUntilTheClientLeaves() {
        account.update(0, 0, 12L * MEBIBYTE);
        assertFalse(unreadAnswers.hasRoom(7L * MEBIBYTE, 1, CLIENT_COUNT));
        account.close();
        assertTrue(unreadAnswers.hasRoom(7L * MEBIBYTE, 1, CLIENT_COUNT));
    }
}
