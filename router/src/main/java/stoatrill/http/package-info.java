/** The client side of HTTP/1.1, as far as service discovery needs it. */
package stoatrill.http;
