/** The event loop: connections on one thread and one selector, and the interfaces that the protocols implement. */
package stoatrill.net;
