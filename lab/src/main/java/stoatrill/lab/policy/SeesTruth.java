package stoatrill.lab.policy;

import java.util.List;
import stoatrill.Gateway;
import stoatrill.Gateway.RequestClass;

/**
 * Takes the member that will really be done first, and refuses what would come too late; it alone sees positions
 * and queues. Reads stay off a primary that has little room for what only it can take.
 */
final class SeesTruth extends PlainPolicy {
    SeesTruth(Gateway out, Policy.Sight sight) {
        super(out, sight);
    }

    @Override
    Server choose(RequestClass kind, List<Server> fit, Server primary) {
        Server best = null;
        double soonest = Double.POSITIVE_INFINITY;
        for (int i = -1; i < fit.size(); i++) {
            Server s = i < 0 ? primary : fit.get(i);
            double expected = s == null ? Double.POSITIVE_INFINITY : truth.expected(s.id, work(kind)) * (i < 0 ? 2 : 1);
            if (expected < soonest) {
                best = s;
                soonest = expected;
            }
        }
        return best;
    }

    /** What a request of a class takes, roughly: its aim is some four times that. */
    private static double work(RequestClass kind) {
        return kind.aim() / 4.0;
    }

    @Override
    boolean tooLate(RequestClass kind, Server to) {
        return truth.expected(to.id, work(kind)) > kind.aim();
    }

    @Override
    boolean fit(Server s, long oldest) {
        return truth.position(s.id) >= oldest;
    }

    @Override
    Server primary(int group, List<Server> members) {
        for (Server s : members) {
            if (truth.primary(s.id)) {
                return s;
            }
        }
        return null;
    }
}
