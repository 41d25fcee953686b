package stoatrill.lab.scale.hollow;

/** What all hollow routers of one process have done; used by their one thread. */
final class HollowTally {
    long calls;
    long connects;
    long bytesIn;
    long bytesOut;
    long wholeLists;
    long changes;
    long silent;
    long failed;
    long serverConnections;
    long probes;
    long statements;
    long served;
    long wakes;
}
