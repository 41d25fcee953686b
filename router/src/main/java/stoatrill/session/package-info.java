/** State of client sessions that is kept between requests. No sockets, clocks, threads or files. */
package stoatrill.session;
