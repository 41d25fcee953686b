package stoatrill.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TenantAllowancesTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    @Test
    void neverExceedsWithoutTenants() {
        assertFalse(new TenantAllowances(new double[0]).exceeds(0, NANOS_PER_SECOND));
    }

    @Test
    void permitsBurstThenLimitsToRate() {
        TenantAllowances tenants = new TenantAllowances(new double[] {10, 1});
        tenants.start(0);
        assertFalse(tenants.exceeds(0, 0));
        assertFalse(tenants.exceeds(0, 0));
        assertTrue(tenants.exceeds(0, 0));
        int permitted = 0;
        for (long now = NANOS_PER_SECOND / 100; now <= 100 * NANOS_PER_SECOND; now += NANOS_PER_SECOND / 100) {
            permitted += tenants.exceeds(0, now) ? 0 : 1;
        }
        assertEquals(1000, permitted, 2);
    }

    @Test
    void keepsTenantsSeparate() {
        TenantAllowances tenants = new TenantAllowances(new double[] {10, 1});
        tenants.start(0);
        while (!tenants.exceeds(0, 0)) {
            // uses up the bucket
        }
        assertFalse(tenants.exceeds(1, 0));
    }
}
