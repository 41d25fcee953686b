package stoatrill.homes;

/** Thrown for arguments from which no homes can be computed. */
public final class InvalidHomesException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /** What is wrong. */
    public enum Problem {
        /** The number of homes of a group is below 1 or above {@link HomeSettings#MAX_HOMES_PER_GROUP}. */
        HOMES_PER_GROUP,
        /** The load factor is not a number, below 1 or above {@link HomeSettings#MAX_LOAD_FACTOR}. */
        LOAD_FACTOR,
        /** The number of routers times that of groups is above {@link HomeAssignment#MAX_PAIRS}. */
        TOO_MANY_PAIRS
    }

    private final Problem problem;

    InvalidHomesException(Problem problem, String message) {
        super(message);
        this.problem = problem;
    }

    /** Returns what is wrong. */
    public Problem problem() {
        return problem;
    }
}
