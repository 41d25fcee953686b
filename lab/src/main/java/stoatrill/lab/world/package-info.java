/**
 * A deployment on simulated time: nodes and groups by the stand-ins' model, the list, the front, clients, and
 * the real reducer for each router. It checks the operators' rules; it decides nothing of routing.
 */
package stoatrill.lab.world;
