package stoatrill.core;

/** Why a connection to a server became unusable. */
public enum DisconnectCause {
    /** It ended, or was never established. */
    ENDED,
    /** The server refused it because it has too many connections. */
    FULL,
    /** The server sent data that can't be parsed. */
    SPOILT,
    /** The server sent data although no query was outstanding. */
    SURPLUS
}
