/**
 * Clients that load a router without regard for others: they send one kind of message at full speed, write slowly, or
 * stop half way. Probes beside them measure whether other clients are still answered in time. The package speaks the
 * wire protocol on its own and uses nothing of the router.
 */
package stoatrill.lab.flood;
