/**
 * Real router processes started as the deploy file's {@code run} starts them, for tests and trials that put faults
 * between processes. It owns every process it starts and decides nothing of the router's.
 */
package stoatrill.lab.rig;
