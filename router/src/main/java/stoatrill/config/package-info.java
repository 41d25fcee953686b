/** The configuration that the platform gives a router: a JSON file, and environment variables that override it. */
package stoatrill.config;
