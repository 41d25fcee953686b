/** A model of a deployment on simulated time, its load and its experiments; nothing else uses it. */
package stoatrill.lab;
