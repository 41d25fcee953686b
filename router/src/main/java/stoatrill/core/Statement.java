package stoatrill.core;

/** A client's statement as encoded by its protocol; only the announced wait is replaced for each attempt. */
public interface Statement {

    /** The statement's bytes, including how long the router waits for the answer, in milliseconds. */
    byte[] encodeWithWait(long waitMillis);
}
