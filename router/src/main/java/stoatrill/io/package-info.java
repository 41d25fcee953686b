/**
 * The boundary to the operating system: every call on sockets, on the selector and on the files that a router reads.
 * The outcome of a call is a closed type. No negative count leaves this package, and no {@code IOException} except
 * where the selector or the listener can't be opened. The package makes no decision about requests and holds none.
 */
package stoatrill.io;
