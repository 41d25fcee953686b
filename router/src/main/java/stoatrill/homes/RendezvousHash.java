package stoatrill.homes;

import java.nio.charset.StandardCharsets;

/**
 * Computes the weight of a router for a group: FNV-1a (64 bits) of the router's name in UTF-8, then the finalizer of
 * SplitMix64 (Stafford's variant 13) over that and the group. The result is the same on every machine. FNV-1a alone
 * mixes the high bits too little, and weights are compared by these.
 */
final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;
    private static final int BYTE_MASK = 0xff;

    private RendezvousHash() {}

    /** Returns the hash of a router's name. */
    static long ofName(String router) {
        long hash = FNV_OFFSET;
        for (byte nameByte : router.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (nameByte & BYTE_MASK)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Returns the weight of a router, given by its name's hash, for a group: 64 bits, compared as a signed number. */
    static long weight(long nameHash, int group) {
        return mix(nameHash + GOLDEN_GAMMA * (group + 1L));
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
