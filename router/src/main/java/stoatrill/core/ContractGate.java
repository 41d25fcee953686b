package stoatrill.core;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import stoatrill.contract.Accounts;
import stoatrill.contract.Contracts;

/**
 * Enforces the teams' contracts before the module sees a request: admits it, or tells after what wait to retry. It
 * connects the accounts, which keep only the bookkeeping, with the requests and attempts that the reducer sees.
 */
final class ContractGate {
    /** How long a group counts as short of capacity after the module refused one of its requests. */
    private static final long SHORT_STATE_NANOS = 200_000_000L;
    /** Jitter as a share of the wait, so that a team's clients don't all retry at the same time. */
    private static final double WAIT_JITTER_SHARE = 0.25;

    private final SplittableRandom random;
    private final Map<Integer, Long> shortUntilByGroup = new HashMap<>();
    private Accounts accounts;

    ContractGate(Contracts contracts, long seed, long now) {
        this.random = new SplittableRandom(seed);
        this.accounts = new Accounts(contracts, now);
    }

    /** Replaces the contracts; what was spent under the old ones still counts. */
    void reload(Contracts contracts, long now) {
        // Open requests keep the accounts that charged them, so that no refund goes to other accounts.
        accounts = new Accounts(contracts, accounts, now);
    }

    Accounts accounts() {
        return accounts;
    }

    /** The index of a team; negative if it has no contract and no other contract covers it. */
    int teamIndex(String path) {
        return accounts.contracts().indexOf(path);
    }

    boolean isShort(int group, long now) {
        return shortUntilByGroup.getOrDefault(group, Long.MIN_VALUE) > now;
    }

    void markShort(int group, long now) {
        shortUntilByGroup.put(group, now + SHORT_STATE_NANOS);
    }

    /** Admits and charges the request and returns 0, or returns how long to wait in nanoseconds. */
    long admit(int teamIndex, boolean isGroupShort, long now) {
        long readyAt = accounts.admit(teamIndex, isGroupShort, now);
        return readyAt == Accounts.ADMITTED
                ? 0
                : Math.max(1, (long) ((readyAt - now) * (1 + WAIT_JITTER_SHARE * random.nextDouble())));
    }
}
