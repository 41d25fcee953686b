/** What clients ask for and when: arrival times, keys and recorded traces. It chooses no router and no node. */
package stoatrill.lab.load;
