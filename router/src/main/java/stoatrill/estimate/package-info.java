/** Smoothed estimates of measured values. No sockets, clocks or threads: callers pass in the time. */
package stoatrill.estimate;
