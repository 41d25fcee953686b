/** What a router does once before it listens, so that it needs no file afterwards. Knows no request and no socket. */
package stoatrill.startup;
