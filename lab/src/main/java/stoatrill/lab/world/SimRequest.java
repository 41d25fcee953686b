package stoatrill.lab.world;

/** What a client wants, over all its tries. */
final class SimRequest {
    final long id;
    final int kind;
    final int team;
    final int zone;
    final int group;
    final long key;
    final double work;
    final long arrived;
    int tries;

    SimRequest(long id, int kind, int team, int zone, int group, long key, double work, long arrived) {
        this.id = id;
        this.kind = kind;
        this.team = team;
        this.zone = zone;
        this.group = group;
        this.key = key;
        this.work = work;
        this.arrived = arrived;
    }
}
