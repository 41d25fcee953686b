/**
 * Assigns to each group of databases the routers of a zone that are its homes. The package uses no sockets, clocks,
 * threads, files or logging. It does not pick servers and does not check whether a router is alive: the eligible
 * routers are arguments.
 */
package stoatrill.homes;
