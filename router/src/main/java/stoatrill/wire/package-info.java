/** The adapter between the simulator's wire protocol and the module. It only translates; it makes no decisions. */
package stoatrill.wire;
