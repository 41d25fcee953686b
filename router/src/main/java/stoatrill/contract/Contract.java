package stoatrill.contract;

/**
 * The contract of a team or a sub-team.
 *
 * @param path name of the team, prefixed by those of the teams above it, joined by dots
 * @param parentIndex index of the team above it in {@link Contracts#all}; negative if there is none
 * @param share promised share of the primary's work, in parts per million
 * @param requestsPerDay requests a day that the team may send; 0 for no limit
 * @param burst requests that the team may send at once
 * @param budget requests in any window of {@code budgetWindow} nanoseconds; 0 for no limit
 * @param worth worth of its requests, in thousandths
 * @param over what happens to requests beyond the rate
 */
public record Contract(
        String path,
        int parentIndex,
        long share,
        long requestsPerDay,
        long burst,
        long budget,
        long budgetWindow,
        long worth,
        Over over) {

    /** What happens to a request beyond its team's rate. */
    public enum Over {
        /** The request is refused, with a time at which to try again. */
        REFUSE,
        /** The request is refused only while the group is short of capacity. */
        WHEN_SHORT
    }
}
