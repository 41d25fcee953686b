/**
 * Plain policies to hold the decision module against. They see what the module sees, but for the one that sees
 * the truth, and keep the rules on drains, repeats and the age of data as well as they can.
 */
package stoatrill.lab.policy;
