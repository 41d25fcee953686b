/**
 * Admission control by team: the contracts of teams and what they have spent. Admits a request or tells when to try
 * again, and never chooses a server. No sockets, clocks, threads or files: callers pass in the time, and all arithmetic
 * is on integers.
 */
package stoatrill.contract;
