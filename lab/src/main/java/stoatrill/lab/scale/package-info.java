/** Scale tests: many hollow routers before a stand-in discovery, and what their control costs by size. */
package stoatrill.lab.scale;
