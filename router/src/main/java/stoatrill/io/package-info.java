/**
 * The edge to the operating system: every call on sockets, on the selector and on the files that a router reads. What
 * a call came to is a closed type; no negative count and no {@code IOException} leaves this package. It decides nothing
 * of requests and holds none.
 */
package stoatrill.io;
