package stoatrill.io;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.nio.channels.ClosedChannelException;
import java.util.List;

/** Maps the exceptions of the platform's library to an {@link Outcome}. */
final class IoErrors {
    /** Parts of the system's error messages, in the C locale, that mean that a connection can no longer be used. */
    private static final List<String> BROKEN_CONNECTION_TEXTS = List.of(
            "reset",
            "Broken pipe",
            "refused",
            "timed out",
            "unreachable",
            "No route to host",
            "not connected",
            "Network is down");

    private IoErrors() {}

    /**
     * Classifies a failed call: {@link Outcome#PERMANENT_FAILURE} if the channel is closed, {@link Outcome#BROKEN} if
     * the system reports a broken connection. Everything else may be temporary: errors for which the manual pages
     * document that the call may succeed when retried, and errors that they don't mention.
     */
    static Outcome classify(IOException error) {
        if (error instanceof ClosedChannelException) {
            return Outcome.PERMANENT_FAILURE;
        }
        if (error instanceof ConnectException || error instanceof NoRouteToHostException) {
            return Outcome.BROKEN;
        }
        String message = String.valueOf(error.getMessage());
        return BROKEN_CONNECTION_TEXTS.stream().anyMatch(message::contains)
                ? Outcome.BROKEN
                : Outcome.TEMPORARY_FAILURE;
    }
}
