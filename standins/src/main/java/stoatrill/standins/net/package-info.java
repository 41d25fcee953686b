/**
 * The stand-ins on sockets: record nodes that speak PostgreSQL's protocol and a discovery that speaks HTTP, both
 * on loopback and in real time over the same model as the lab's. They decide nothing of routing.
 */
package stoatrill.standins.net;
