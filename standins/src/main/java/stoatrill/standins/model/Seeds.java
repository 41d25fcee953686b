package stoatrill.standins.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Sources of random numbers, each by a seed and a name, so that one part that draws more than before doesn't
 * change what the others draw.
 */
public final class Seeds {
    private Seeds() {}

    /** A source of its own for a name; the same seed and name give the same numbers. */
    public static UniformRandomProvider source(long seed, String name) {
        return RandomSource.XO_SHI_RO_256_PP.create(number(seed, name));
    }

    /** A seed of its own for a name. The mixing is that of SplitMix64. */
    public static long number(long seed, String name) {
        long z = seed * 0x9e3779b97f4a7c15L;
        for (int i = 0; i < name.length(); i++) {
            z = (z ^ name.charAt(i)) * 0xbf58476d1ce4e5b9L;
            z ^= z >>> 29;
        }
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
