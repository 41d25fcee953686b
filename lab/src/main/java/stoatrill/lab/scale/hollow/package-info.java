/**
 * Hollow routers: the real control path of a router (discovery client, reducer, pool, decisions, deadlines) over real
 * sockets to discovery, with modelled statements and servers in place of clients and databases. Many share one thread.
 */
package stoatrill.lab.scale.hollow;
