/** The list of servers: reading it, asking for it, watching it, and when a watch has fallen silent. Knows no socket. */
package stoatrill.discovery;
