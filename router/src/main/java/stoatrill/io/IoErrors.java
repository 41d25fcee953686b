package stoatrill.io;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.nio.channels.ClosedChannelException;
import java.util.List;

/** Tells by an exception of the platform's library what a failed call came to. */
final class IoErrors {
    /** What the system says, in the C locale, where a connection is of no more use. */
    private static final List<String> ENDS = List.of(
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
     * Broken where the system says so; fatal where the channel is closed. Anything else may pass: what the manual pages
     * document for calls that may succeed when made again, and what they don't name.
     */
    static Outcome outcome(IOException error) {
        if (error instanceof ClosedChannelException) {
            return Outcome.FATAL;
        }
        if (error instanceof ConnectException || error instanceof NoRouteToHostException) {
            return Outcome.BROKEN;
        }
        String said = String.valueOf(error.getMessage());
        return ENDS.stream().anyMatch(said::contains) ? Outcome.BROKEN : Outcome.NO_RESOURCE;
    }
}
