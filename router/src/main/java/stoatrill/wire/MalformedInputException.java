package stoatrill.wire;

import java.io.IOException;

/** Thrown for input that violates the protocol; the message says what is wrong and where. */
public final class MalformedInputException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedInputException(String message) {
        super(message);
    }
}
