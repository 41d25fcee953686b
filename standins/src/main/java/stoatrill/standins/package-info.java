/**
 * Scripted peers of a router on loopback: database nodes, discovery and their faults. They choose nothing of
 * routing and use nothing of the router, so that an error on one side can't hide on the other.
 */
package stoatrill.standins;
