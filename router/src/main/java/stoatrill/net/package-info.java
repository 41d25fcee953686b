/**
 * The event loop: connections on one thread and one selector, and the interfaces that the protocols implement. It moves
 * bytes and bounds the time and the memory that each connection takes; it never chooses a server and changes no state
 * of requests.
 */
package stoatrill.net;
