package stoatrill.net;

/**
 * What one connection may cost in a turn of the event loop, by deficit round robin (Shreedhar and Varghese, 1995). Each
 * turn adds a quantum of credit. A message is charged by what it costs, in bytes of parsing; one that costs more than
 * the credit left is still handled whole, and the connection then waits for as many turns as it is in debt. Not
 * thread-safe.
 */
public final class TurnAccount {
    /** Credit that a turn adds; unused credit is not saved. */
    public static final long QUANTUM_BYTES = 32 * 1024;

    /** What any message costs beside its own bytes: its reply and its bookkeeping. */
    private static final long MESSAGE_OVERHEAD_BYTES = 1024;

    private static final long NO_TURN = -1;

    private long currentTurn = NO_TURN;
    private long creditBytes;
    private long chargedBytes;
    private long messageCount;
    private long exhaustedTurnCount;
    private long reportedBytes;
    private long reportedMessageCount;
    private long reportedExhaustedTurnCount;

    /**
     * Adds the credit of a turn, once however often it is called in that turn.
     *
     * @param turn the number of the turn, which grows from turn to turn
     */
    public void beginTurn(long turn) {
        if (turn != currentTurn) {
            currentTurn = turn;
            creditBytes = Math.min(QUANTUM_BYTES, creditBytes + QUANTUM_BYTES);
        }
    }

    /** Whether another message may be handled in this turn. */
    public boolean hasCredit() {
        return creditBytes > 0;
    }

    /** Charges a message of so many bytes. */
    public void chargeMessage(int messageBytes) {
        messageCount++;
        creditBytes -= messageBytes + MESSAGE_OVERHEAD_BYTES;
        chargedBytes += messageBytes + MESSAGE_OVERHEAD_BYTES;
    }

    /** Records that the credit of a turn ended before the input did. */
    void recordExhaustedTurn() {
        exhaustedTurnCount++;
    }

    /** All that was ever charged, in bytes. */
    long chargedBytes() {
        return chargedBytes;
    }

    /** Returns what was charged since the last call. */
    LimitReport.ClientCost takeCost(String address) {
        LimitReport.ClientCost cost = new LimitReport.ClientCost(
                address,
                messageCount - reportedMessageCount,
                chargedBytes - reportedBytes,
                exhaustedTurnCount - reportedExhaustedTurnCount);
        reportedMessageCount = messageCount;
        reportedBytes = chargedBytes;
        reportedExhaustedTurnCount = exhaustedTurnCount;
        return cost;
    }
}
