/** Fits of measured figures over sizes: slopes, intercepts and how they grow. Uses neither files nor clocks. */
package stoatrill.lab.scale.fit;
