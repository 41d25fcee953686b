/** The reducer: takes the events of the sockets and produces effects; it holds no socket and reads no clock. */
package stoatrill.core;
