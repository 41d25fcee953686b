/** What a router does once before it listens, so that it reads no file afterwards. Handles no requests or sockets. */
package stoatrill.startup;
