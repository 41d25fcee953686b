/**
 * What control costs at the size to design for, on simulated time: the real reducer and decision module of every
 * router, before modelled databases and a modelled discovery.
 */
package stoatrill.lab.scale.faketime;
