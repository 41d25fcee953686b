/** Rate limits and backoff for overload. No sockets, clocks, threads or files, and no choice of servers. */
package stoatrill.overload;
