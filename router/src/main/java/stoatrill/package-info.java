/** The decision module of a router for a primary and its replicas, and the interface to embed it. */
package stoatrill;
