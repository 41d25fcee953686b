package stoatrill.lab.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.ListedState;
import stoatrill.core.ServerEntry;
import stoatrill.standins.model.Scheduler;

/** The list of nodes: late, answering calls one after another, and at times not there at all. */
final class ServiceList {

    /** Who follows the list. */
    interface Follower {
        void told(ListKind kind, List<ServerEntry> entries);
    }

    private static final long TIMEOUT = 2_000_000_000L;

    private final Scheduler time;
    private final UniformRandomProvider random;
    private final Plan plan;
    private final Map<String, ServerEntry> shown = new LinkedHashMap<>();
    private final List<Follower> followers = new ArrayList<>();
    private final PerSecond calls = new PerSecond();
    private long busyUntil;
    private boolean down;

    ServiceList(Scheduler time, UniformRandomProvider random, Plan plan) {
        this.time = time;
        this.random = random;
        this.plan = plan;
    }

    /** How it all stands at the start. */
    void begin(ServerEntry entry) {
        shown.put(entry.uid(), entry);
    }

    List<ServerEntry> shown() {
        return List.copyOf(shown.values());
    }

    /** Something about a node has changed; the list shows it some time later. */
    void state(String uid, ListedState state, long bootMillis) {
        time.at(time.now() + (long) plan.listNotice.draw(random), () -> {
            ServerEntry e = shown.get(uid);
            if (e == null) {
                state(uid, state, bootMillis); // the node itself is not shown yet
                return;
            }
            show(new ServerEntry(
                    uid,
                    e.endpoint(),
                    e.zone(),
                    e.model(),
                    e.group(),
                    e.relativeCapacity(),
                    bootMillis > 0 ? bootMillis : e.startedAtMillis(),
                    e.isPrimary(),
                    state));
        });
    }

    /** A new node; the list shows it some time later. */
    void add(ServerEntry entry) {
        time.at(time.now() + (long) plan.listNotice.draw(random), () -> show(entry));
    }

    void primary(String uid, boolean primary) {
        time.at(time.now() + (long) plan.roleNotice.draw(random), () -> {
            ServerEntry e = shown.get(uid);
            if (e == null) {
                primary(uid, primary);
                return;
            }
            show(new ServerEntry(
                    uid,
                    e.endpoint(),
                    e.zone(),
                    e.model(),
                    e.group(),
                    e.relativeCapacity(),
                    e.startedAtMillis(),
                    primary,
                    e.state()));
        });
    }

    private void show(ServerEntry entry) {
        shown.put(entry.uid(), entry);
        if (down) {
            return;
        }
        for (Follower f : List.copyOf(followers)) {
            time.at(time.now() + (long) plan.listSpread.draw(random), () -> {
                if (!down && followers.contains(f)) {
                    f.told(ListKind.DELTA, List.of(shown.get(entry.uid())));
                }
            });
        }
    }

    /** A follower asks for the whole list, and for changes from then on. */
    void follow(Follower f) {
        calls.add(time.now());
        if (down) {
            time.at(time.now() + TIMEOUT, () -> f.told(ListKind.FAILED, List.of()));
            return;
        }
        if (busyUntil - time.now() > plan.listPatience) { // it is not begun, so it costs the list nothing
            time.at(time.now() + plan.listPatience, () -> f.told(ListKind.FAILED, List.of()));
            return;
        }
        busyUntil = Math.max(busyUntil, time.now()) + plan.listCall;
        time.at(busyUntil, () -> {
            if (down) {
                f.told(ListKind.FAILED, List.of());
            } else {
                if (!followers.contains(f)) {
                    followers.add(f);
                }
                f.told(ListKind.FULL, shown());
            }
        });
    }

    /** The most calls that came in one second. */
    int mostCalls() {
        return calls.most();
    }

    void forget(Follower f) {
        followers.remove(f);
    }

    /** It can't be reached from now on, or is back; whoever follows learns of a failed call at once. */
    void down(boolean isDown) {
        down = isDown;
        if (isDown) {
            List<Follower> cut = List.copyOf(followers);
            followers.clear();
            cut.forEach(f -> time.at(time.now() + plan.listCall, () -> f.told(ListKind.FAILED, List.of())));
        }
    }
}
