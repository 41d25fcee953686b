package stoatrill.lab.policy;

import java.util.List;
import stoatrill.Gateway;
import stoatrill.Gateway.RequestClass;

/** Draws a replica that is new enough, all alike. */
final class RandomFit extends PlainPolicy {
    RandomFit(Gateway out, Policy.Sight sight) {
        super(out, sight);
    }

    @Override
    Server choose(RequestClass kind, List<Server> fit, Server primary) {
        return fit.isEmpty() ? null : fit.get(random.nextInt(fit.size()));
    }
}
