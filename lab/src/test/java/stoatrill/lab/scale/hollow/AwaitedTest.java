package stoatrill.lab.scale.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import stoatrill.Gateway.ListKind;
import stoatrill.Gateway.ListedState;
import stoatrill.core.ServerEntry;

class AwaitedTest {

    private static ServerEntry entry(String uid, ListedState state, boolean primary) {
        return new ServerEntry(uid, new InetSocketAddress(5432), "zone-00", "std", 0, 1, 0, primary, state);
    }

    @Test
    void aChangeIsKnownOnceEveryEntryOfItWasHeardAsItIsToBe() {
        Awaited awaited = Awaited.parse("a:Ready:reader,b:Ready:writer");
        awaited.heard(
                1, ListKind.DELTA, List.of(entry("a", ListedState.READY, true), entry("b", ListedState.READY, true)));
        assertEquals(-1, awaited.knownAt());
        awaited.heard(2, ListKind.DELTA, List.of(entry("a", ListedState.READY, false)));
        assertEquals(2, awaited.knownAt());
        awaited.heard(3, ListKind.DELTA, List.of());
        assertEquals(2, awaited.knownAt());
    }

    @Test
    void aServerThatIsGoneIsKnownByItsAbsenceFromAWholeList() {
        Awaited awaited = Awaited.parse("a:Gone:reader");
        awaited.heard(1, ListKind.DELTA, List.of());
        assertEquals(-1, awaited.knownAt());
        awaited.heard(2, ListKind.FULL, List.of(entry("b", ListedState.READY, true)));
        assertEquals(2, awaited.knownAt());
    }

    @Test
    void aWholeListIsNotKnownByChanges() {
        Awaited awaited = Awaited.parse("list");
        awaited.heard(1, ListKind.FAILED, List.of());
        awaited.heard(2, ListKind.DELTA, List.of(entry("a", ListedState.READY, false)));
        assertEquals(-1, awaited.knownAt());
        awaited.heard(3, ListKind.FULL, List.of());
        assertEquals(3, awaited.knownAt());
    }
}
