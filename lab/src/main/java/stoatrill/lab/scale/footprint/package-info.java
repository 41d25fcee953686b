/**
 * Measures what one real router process costs by servers, groups, clients and statements. Starts routers by the deploy
 * file's run line before stand-ins on loopback; reads their memory and processor time from {@code /proc}.
 */
package stoatrill.lab.scale.footprint;
