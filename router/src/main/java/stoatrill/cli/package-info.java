/**
 * The command line, on picocli, and the choice of the log format, on slf4j's providers. The package starts what other
 * packages implement and makes no routing decisions. Of this package, a plain {@code serve} loads only
 * {@link stoatrill.cli.Logs}.
 */
package stoatrill.cli;
