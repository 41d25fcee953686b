/**
 * Limits the attempts that a router sends to servers that have just started. No sockets, clocks, threads, files or
 * logging, and no choice of servers: callers pass in the time and what they know of the servers.
 */
package stoatrill.slowstart;
