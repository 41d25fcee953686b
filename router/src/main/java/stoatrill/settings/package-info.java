/**
 * Parses the settings files that operators write: one directive a line, made of words and quoted strings, with nested
 * blocks, comments, and a unit on every quantity that has one. The package does not know what the directives mean,
 * opens no files and keeps no global state.
 */
package stoatrill.settings;
