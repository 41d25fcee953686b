/**
 * Discovery for a fleet of thousands, on loopback and in a process of its own: a list with versions, watches, scripted
 * changes, and counts of what each caller costs. Uses nothing of the router.
 */
package stoatrill.standins.fleet;
