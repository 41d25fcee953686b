package stoatrill.overload;

import java.util.Arrays;

/**
 * One token bucket for each tenant, refilled at this router's share of the tenant's allowance. It reports whether a
 * request is within the allowance and makes no decision about it. Not thread-safe.
 */
public final class TenantAllowances {
    /** Size of a bucket: this number of requests, plus the requests of this number of seconds at the tenant's rate. */
    private static final double BURST_LIMIT = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final double[] ratePerSecond;
    private final double[] tokens;
    private long refilledAt;

    /** Creates full buckets for tenants with these rates, in requests a second at this router. */
    public TenantAllowances(double[] ratePerSecond) {
        this.ratePerSecond = ratePerSecond.clone();
        this.tokens = new double[ratePerSecond.length];
        Arrays.fill(tokens, BURST_LIMIT);
    }

    /** Starts to refill the buckets from a time in nanoseconds. */
    public void start(long now) {
        refilledAt = now;
    }

    /** Charges one request to a tenant. Returns true if the request exceeds the allowance; then nothing is charged. */
    public boolean exceeds(int tenant, long now) {
        if (tokens.length == 0) {
            return false;
        }
        refill(now);
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }

    private void refill(long now) {
        double elapsedSeconds = (now - refilledAt) / NANOS_PER_SECOND;
        refilledAt = now;
        for (int i = 0; i < tokens.length; i++) {
            double limit = BURST_LIMIT + BURST_LIMIT * ratePerSecond[i];
            tokens[i] = Math.min(limit, tokens[i] + elapsedSeconds * ratePerSecond[i]);
        }
    }
}
