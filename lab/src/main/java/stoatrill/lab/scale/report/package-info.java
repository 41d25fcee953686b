/** Tables, fits and plots of scale tests. Writes files; measures nothing. */
package stoatrill.lab.scale.report;
