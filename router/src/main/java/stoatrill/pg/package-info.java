/** Version 3 of PostgreSQL's wire protocol, client and server side, parsed incrementally. */
package stoatrill.pg;
