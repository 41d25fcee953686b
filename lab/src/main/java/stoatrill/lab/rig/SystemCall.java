package stoatrill.lab.rig;

import static stoatrill.lab.rig.Errno.EACCES;
import static stoatrill.lab.rig.Errno.EAGAIN;
import static stoatrill.lab.rig.Errno.ECONNABORTED;
import static stoatrill.lab.rig.Errno.ECONNREFUSED;
import static stoatrill.lab.rig.Errno.EHOSTUNREACH;
import static stoatrill.lab.rig.Errno.EINTR;
import static stoatrill.lab.rig.Errno.EIO;
import static stoatrill.lab.rig.Errno.EMFILE;
import static stoatrill.lab.rig.Errno.ENETUNREACH;
import static stoatrill.lab.rig.Errno.ENFILE;
import static stoatrill.lab.rig.Errno.ENOBUFS;
import static stoatrill.lab.rig.Errno.ENOMEM;
import static stoatrill.lab.rig.Errno.ENOSPC;
import static stoatrill.lab.rig.Errno.EPERM;
import static stoatrill.lab.rig.Errno.EPROTO;
import static stoatrill.lab.rig.Errno.ETIMEDOUT;

import java.util.List;

/**
 * The kinds of system calls that the preloaded library (failing_calls.c) can make fail, in its order, each with the
 * errors that Linux's manual pages document for a call that may succeed when made again. Errors that tell of an end
 * (ECONNRESET, EPIPE) are not among them for reads and writes: a peer that has reset a connection is a fault of a
 * {@link Relay}, not of a call.
 */
public enum SystemCall {
    SOCKET_READ(0, EINTR, EAGAIN, ENOMEM),
    SOCKET_WRITE(1, EINTR, EAGAIN, ENOBUFS, ENOMEM),
    ACCEPT(2, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, ECONNABORTED, EPERM),
    SOCKET(3, EMFILE, ENFILE, ENOBUFS, ENOMEM),
    CONNECT(4, EINTR, EAGAIN, ENETUNREACH, ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH),
    REGISTER(5, ENOMEM, ENOSPC),
    SELECT(6, EINTR),
    FILE_OPEN(7, EINTR, EMFILE, ENFILE, EIO, ENOMEM, EACCES),
    FILE_READ(8, EIO, EINTR),
    FILE_WRITE(9, ENOSPC, EIO, EINTR),
    SOCKET_OPTION(10, ENOBUFS, ENOMEM),
    SHUTDOWN(11, ENOBUFS),
    /** The call transfers fewer bytes than it was asked to. */
    SHORT_READ(12),
    /** The call transfers fewer bytes than it was asked to. */
    SHORT_WRITE(13),
    THREAD(14, EAGAIN),
    EVENT_READ(15, EINTR),
    FINISH_CONNECT(16, EINTR, ENOMEM),
    CLOSE(17, EIO, EINTR),
    /** Not a failure: the wall clock is stepped, see {@link CallFaults#stepWallClock}. */
    WALL_CLOCK(18);

    private final int slot;

    @SuppressWarnings("ImmutableEnumChecker") // made by List.of, which nothing changes
    private final List<Errno> documented;

    SystemCall(int slot, Errno... documented) {
        this.slot = slot;
        this.documented = List.of(documented);
    }

    /** Its place in the file that the library reads. */
    int slot() {
        return slot;
    }

    /** The errors documented for it; empty for calls that are made short. */
    public List<Errno> documented() {
        return documented;
    }
}
