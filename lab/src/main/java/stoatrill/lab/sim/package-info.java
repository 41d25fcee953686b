/** Simulated time: the queue of what is to come. It knows nothing of what its events do. */
package stoatrill.lab.sim;
