package stoatrill.contract;

/**
 * What every team has spent. A request is admitted by its team's contract and those of all teams above it, or is
 * charged to none of them. Admission allocates no memory. Times are in nanoseconds and must not go back. Not
 * thread-safe.
 */
public final class Accounts {
    /** The result for an admitted request; any other result is the time at which to try again. */
    public static final long ADMITTED = Long.MIN_VALUE;

    private final Contracts contracts;
    private final int[] parentIndexes;
    private final RateBucket[] rateBuckets;
    private final WindowBudget[] windowBudgets;
    private final boolean[] limitedOnlyWhenShort;

    /** Creates accounts with nothing spent. */
    public Accounts(Contracts contracts, long now) {
        this.contracts = contracts;
        int teamCount = contracts.all().size();
        parentIndexes = new int[teamCount];
        rateBuckets = new RateBucket[teamCount];
        windowBudgets = new WindowBudget[teamCount];
        limitedOnlyWhenShort = new boolean[teamCount];
        for (int i = 0; i < teamCount; i++) {
            Contract contract = contracts.all().get(i);
            parentIndexes[i] = contract.parentIndex();
            rateBuckets[i] = contract.requestsPerDay() > 0
                    ? new RateBucket(contract.requestsPerDay(), contract.burst(), now)
                    : null;
            windowBudgets[i] =
                    contract.budget() > 0 ? new WindowBudget(contract.budget(), contract.budgetWindow(), now) : null;
            limitedOnlyWhenShort[i] = contract.over() == Contract.Over.WHEN_SHORT;
        }
    }

    /** Creates accounts under new contracts. Teams with the same path keep what they have spent. */
    public Accounts(Contracts contracts, Accounts previous, long now) {
        this(contracts, now);
        for (int i = 0; i < parentIndexes.length; i++) {
            Integer oldIndex = previous.exactIndex(contracts.all().get(i).path());
            if (oldIndex != null && rateBuckets[i] != null && previous.rateBuckets[oldIndex] != null) {
                rateBuckets[i].carryOver(previous.rateBuckets[oldIndex], now);
            }
            if (oldIndex != null && windowBudgets[i] != null && previous.windowBudgets[oldIndex] != null) {
                windowBudgets[i].carryOver(previous.windowBudgets[oldIndex], now);
            }
        }
    }

    private Integer exactIndex(String path) {
        int index = contracts.indexOf(path);
        return index >= 0 && contracts.all().get(index).path().equals(path) ? index : null;
    }

    /**
     * Admits and charges a request of a team, or charges nothing and returns when there will be room.
     *
     * @param team index of the team in {@link Contracts#all}
     * @param groupShort whether the group that is to serve the request is short of capacity
     * @return {@link #ADMITTED}, or the first time at which all accounts concerned have room
     */
    public long admit(int team, boolean groupShort, long now) {
        long readyAt = ADMITTED;
        for (int ancestor = team; ancestor >= 0; ancestor = parentIndexes[ancestor]) {
            if (appliesRate(ancestor, groupShort) && !rateBuckets[ancestor].hasRoom(now)) {
                readyAt = Math.max(readyAt, rateBuckets[ancestor].readyAt(now));
            }
            if (windowBudgets[ancestor] != null && !windowBudgets[ancestor].hasRoom(now)) {
                readyAt = Math.max(readyAt, windowBudgets[ancestor].readyAt(now));
            }
        }
        if (readyAt == ADMITTED) {
            charge(team, groupShort, now);
        }
        return readyAt;
    }

    /**
     * Whether the rate of a team applies. A rate that limits only while the group is short is neither checked nor
     * charged otherwise.
     */
    private boolean appliesRate(int team, boolean groupShort) {
        return rateBuckets[team] != null && (groupShort || !limitedOnlyWhenShort[team]);
    }

    /**
     * Charges a further attempt of an admitted request. It is never refused, so an account may go into debt.
     *
     * @param groupShort the value at admission
     */
    public void charge(int team, boolean groupShort, long now) {
        for (int ancestor = team; ancestor >= 0; ancestor = parentIndexes[ancestor]) {
            if (appliesRate(ancestor, groupShort)) {
                rateBuckets[ancestor].hasRoom(now);
                rateBuckets[ancestor].take();
            }
            if (windowBudgets[ancestor] != null) {
                windowBudgets[ancestor].hasRoom(now);
                windowBudgets[ancestor].take();
            }
        }
    }

    /**
     * Refunds a charge for a request that was refused elsewhere or never ran.
     *
     * @param groupShort the value at the charge
     * @param chargedAt the time of the charge
     */
    public void refund(int team, boolean groupShort, long chargedAt) {
        for (int ancestor = team; ancestor >= 0; ancestor = parentIndexes[ancestor]) {
            if (appliesRate(ancestor, groupShort)) {
                rateBuckets[ancestor].refund();
            }
            if (windowBudgets[ancestor] != null) {
                windowBudgets[ancestor].refund(chargedAt);
            }
        }
    }

    /** Returns how many requests a team has spent of its budget in the current window; 0 if it has no budget. */
    public long spent(int team, long now) {
        return windowBudgets[team] == null ? 0 : windowBudgets[team].spentBySlot(now);
    }

    /** Returns the contracts of these accounts. */
    public Contracts contracts() {
        return contracts;
    }
}
