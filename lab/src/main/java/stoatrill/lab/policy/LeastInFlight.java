package stoatrill.lab.policy;

import java.util.List;
import stoatrill.Gateway;
import stoatrill.Gateway.RequestClass;

/** Takes the replica with the fewest of this router's own requests; ties go by chance. */
final class LeastInFlight extends PlainPolicy {
    LeastInFlight(Gateway out, Policy.Sight sight) {
        super(out, sight);
    }

    @Override
    Server choose(RequestClass kind, List<Server> fit, Server primary) {
        Server best = null;
        int ties = 0;
        for (Server s : fit) {
            if (best == null || s.inFlight < best.inFlight) {
                best = s;
                ties = 1;
            } else if (s.inFlight == best.inFlight && random.nextInt(++ties) == 0) {
                best = s;
            }
        }
        return best;
    }
}
