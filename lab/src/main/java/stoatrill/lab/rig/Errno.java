package stoatrill.lab.rig;

/** Error numbers of Linux that system calls are made to fail with, as {@code errno(3)} names them. */
public enum Errno {
    EPERM(1),
    EINTR(4),
    EIO(5),
    EAGAIN(11),
    ENOMEM(12),
    EACCES(13),
    ENFILE(23),
    EMFILE(24),
    ENOSPC(28),
    EPIPE(32),
    EPROTO(71),
    ENETDOWN(100),
    ENETUNREACH(101),
    ECONNABORTED(103),
    ECONNRESET(104),
    ENOBUFS(105),
    ENOTCONN(107),
    ETIMEDOUT(110),
    ECONNREFUSED(111),
    EHOSTUNREACH(113);

    private final int number;

    Errno(int number) {
        this.number = number;
    }

    /** The number, as on every architecture that uses Linux's generic table. */
    public int number() {
        return number;
    }
}
