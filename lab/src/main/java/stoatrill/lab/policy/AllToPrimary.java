package stoatrill.lab.policy;

import java.util.List;
import stoatrill.Gateway;
import stoatrill.Gateway.RequestClass;

/** Sends everything to the primary. */
final class AllToPrimary extends PlainPolicy {
    AllToPrimary(Gateway out, Policy.Sight sight) {
        super(out, sight);
    }

    @Override
    Server choose(RequestClass kind, List<Server> fit, Server primary) {
        return null;
    }
}
