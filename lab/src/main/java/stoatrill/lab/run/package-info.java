/** Experiments: what to play, what is claimed of it, and the tables, plots and verdicts that come out. */
package stoatrill.lab.run;
