package stoatrill.lab.scale.hollow;

import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import stoatrill.core.ClientRequest;
import stoatrill.core.DeadlineQueue;
import stoatrill.core.Reducer;
import stoatrill.core.Statement;

/** The clients as one hollow router sees them: bounded reads of any group, at random times. Used by one thread. */
final class ModelClients {
    private static final long WAIT_MILLIS = 500;
    private static final int KEYS = 1 << 20;
    private static final double NANOS = 1e9;
    private static final Statement STATEMENT = wait -> new byte[0];

    private final Reducer reducer;
    private final DeadlineQueue deadlines;
    private final LongSupplier now;
    private final int groups;
    private final SplittableRandom random;
    private final HollowTally tally;
    private double perSecond;
    private long statements;
    private long rateChanges;

    ModelClients(Reducer reducer, DeadlineQueue deadlines, LongSupplier now, int groups, long seed, HollowTally tally) {
        this.reducer = reducer;
        this.deadlines = deadlines;
        this.now = now;
        this.groups = groups;
        this.random = new SplittableRandom(seed);
        this.tally = tally;
    }

    /** So many statements a second from now on, with exponential spans between them; 0 for none. */
    void rate(double statementsPerSecond) {
        perSecond = statementsPerSecond;
        rateChanges++;
        next(rateChanges);
    }

    private void next(long change) {
        if (perSecond > 0) {
            long span = (long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS);
            deadlines.schedule(now.getAsLong() + span, () -> send(change));
        }
    }

    /** Sends one, unless the rate was changed since it was planned. */
    private void send(long change) {
        if (change != rateChanges) {
            return;
        }
        statements++;
        tally.statements++;
        ClientRequest request = new ClientRequest(
                Long.toString(statements),
                RouterConfig.READ_CLASS,
                Long.toString(random.nextInt(KEYS)),
                random.nextInt(groups),
                WAIT_MILLIS,
                0,
                false,
                false,
                STATEMENT);
        reducer.onRequest(now.getAsLong(), statements, 0, request);
        next(change);
    }
}
