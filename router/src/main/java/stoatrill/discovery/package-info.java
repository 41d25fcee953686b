/**
 * The list of servers: parsing it, fetching it, watching it, and detecting a silent watch. Does no input or output of
 * its own.
 */
package stoatrill.discovery;
