package stoatrill.net;

import java.nio.ByteBuffer;
import stoatrill.core.Answer;
import stoatrill.core.ClientRequest;

/**
 * The interface of client protocols: the parser and encoder of one client connection. An implementation has no access
 * to the socket.
 */
public interface ClientProtocol {

    /** What the protocol of a connection requires of the event loop. */
    interface Environment {
        /** Submits a complete request; {@link ClientProtocol#answer} delivers its answer with the same slot. */
        void submit(long slot, ClientRequest request);

        /** Whether the router is ready; if not, {@link ClientProtocol#onReady} is called once it is. */
        boolean isReady();

        /** Requests a call of {@link ClientProtocol#readCommands} in the next iteration of the loop. */
        void scheduleCommands();

        /**
         * The key by which another connection can cancel a request of this one. It can't be guessed and is unique to
         * this connection for as long as it is open.
         */
        long cancelKey();

        /** Cancels the request that the connection with the given key waits for; has no effect if there is none. */
        void cancelByKey(long key);

        /** Cancels the request with the given slot; its answer still follows. */
        void cancelRequest(long slot);

        /** Writes the bytes with the other replies of this turn, or once the socket takes them. */
        void write(byte[] bytes);

        /** Reports that the client was told of an error, by its SQLSTATE. */
        void recordError(String sqlState);

        /** What the connection may still cost in this turn; the protocol charges each message that it handles. */
        TurnAccount turn();

        /** Closes the connection once everything written has been sent. */
        void closeAfterWrites();
    }

    /** Takes received bytes; all of them are buffered until {@link #readCommands}. */
    void receive(ByteBuffer bytes);

    /** Reads commands from the received bytes, as many as {@link Environment#turn} has credit for. */
    void readCommands();

    /** Cancels the request that has waited longest for its answer, if there is one. */
    void cancelOldest();

    /** Takes the final answer to a request; it is written once all answers before it are. */
    void answer(long slot, Answer answer);

    /** Called once the router has become ready. */
    void onReady();

    /** The number of complete commands read. */
    long commandCount();

    /** The number of commands read that still wait for their answer. */
    int unansweredCount();

    /** The number of received bytes that have not been read as a command yet. */
    int unparsedBytes();

    /** The number of bytes of memory that the received bytes take. */
    int inputBufferBytes();

    /** Whether the answer to this slot can be written at once because all answers before it are written. */
    boolean isNext(long slot);

    /** The number of bytes of answers that are held back until the answers before them have arrived. */
    long heldBackBytes();

    /** Whether a command still waits for its answer, or part of a command has been received. */
    default boolean isBusy() {
        return unansweredCount() > 0 || unparsedBytes() > 0;
    }

    /** Whether so many commands are unanswered that no further command is read for now. */
    boolean isCongested();

    /** Whether no further command is read until one of those before it is answered. */
    boolean isAwaitingAnswers();

    /** Whether a command that has been received whole is not read yet. */
    boolean hasCompleteCommand();

    /**
     * Reads commands and refuses their requests, the oldest first, until fewer than the given number of bytes are
     * unparsed or no whole command is left. The refusals are written in the order of the commands.
     */
    void refuseCommands(long unparsedLimitBytes);

    /** Ends the conversation, with an error that gives the reason, because the router has no room for the client. */
    void reject(String reason);

    /** Ends the conversation after an internal failure: every command that waits for its answer gets an error now. */
    void failAll();

    /** Ends the conversation because a message was not completed in time or is too large to buffer. */
    void expire();
}
