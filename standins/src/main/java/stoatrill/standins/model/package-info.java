/**
 * The model of what a router balances: record nodes and the replication between them. It has no clock, socket
 * or thread of its own: the lab runs it on simulated time and the stand-in servers in real time, so that both
 * agree.
 */
package stoatrill.standins.model;
