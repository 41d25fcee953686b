/** The lab's commands. They read arguments and files, call the lab's parts and print; nothing is decided here. */
package stoatrill.lab.cli;
