package stoatrill.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Function;
import stoatrill.core.DisconnectCause;
import stoatrill.core.Reducer;
import stoatrill.core.ServerAnswer;
import stoatrill.core.Statement;

/**
 * A connection to a server. It passes bytes between the socket and the server protocol, and the protocol's events to
 * the reducer. For the event loop's thread alone.
 */
final class ServerLink extends Link implements ServerProtocol.Environment {
    private final EventLoop loop;
    private final Reducer reducer;
    private final SurplusDataLog surplusDataLog;
    private final long id;
    private final InetSocketAddress endpoint;
    private final ServerProtocol protocol;
    private boolean isAwaitingAnswer;
    private boolean isSynchronizing;
    /** When the last answer was complete. */
    private long answeredAt;

    ServerLink(
            EventLoop loop,
            Reducer reducer,
            Function<ServerProtocol.Environment, ServerProtocol> protocolFactory,
            SurplusDataLog surplusDataLog,
            long id,
            InetSocketAddress endpoint) {
        super(loop);
        this.loop = loop;
        this.reducer = reducer;
        this.surplusDataLog = surplusDataLog;
        this.id = id;
        this.endpoint = endpoint;
        this.protocol = protocolFactory.apply(this);
    }

    // Requests of the reducer

    void sendQuery(Statement statement, long waitMillis) {
        isAwaitingAnswer = true;
        write(protocol.encodeQuery(statement, waitMillis));
    }

    void sendProbe() {
        isAwaitingAnswer = true;
        write(protocol.encodeProbe());
    }

    void synchronize() {
        isSynchronizing = true;
        writeInTurn(protocol.encodeSynchronization()); // behind the client's answer, which is queued already
    }

    // Events of the socket

    @Override
    void onConnected() {
        write(protocol.startupMessage());
    }

    @Override
    boolean mayWriteQueued() {
        boolean mayWrite = !isAwaitingAnswer || reducer.mayWriteQuery(loop.now(), id, isWriteProgressing());
        if (!mayWrite) {
            loop.runLater(() -> reducer.onQueryAbandoned(loop.now(), id));
        }
        return mayWrite;
    }

    @Override
    void onFlushed() {
        if (isAwaitingAnswer) {
            reducer.onQueryWritten(loop.now(), id);
        }
    }

    @Override
    void enqueueEvents() {
        loop.enqueueServer(this);
    }

    @Override
    void onReceived(ByteBuffer bytes) {
        loop.recordServerRead(bytes.remaining());
        protocol.receive(bytes);
    }

    @Override
    void onLost() {
        loop.forgetServer(id);
        protocol.onClosed();
    }

    // Events of the protocol

    @Override
    public void onStartupComplete() {
        reducer.onServerConnected(loop.now(), id);
    }

    @Override
    public void onAnswer(ServerAnswer answer, boolean reusable) {
        isAwaitingAnswer = false;
        answeredAt = loop.now();
        if (!reusable && isOpen()) {
            recordSurplusData("behind an answer");
        }
        reducer.onServerAnswer(loop.now(), id, answer, reusable);
    }

    @Override
    public void onSynchronized() {
        isSynchronizing = false;
        reducer.onServerSynchronized(loop.now(), id);
    }

    @Override
    public void onBroken(DisconnectCause kind) {
        if (kind == DisconnectCause.SURPLUS) {
            recordSurplusData(isSynchronizing ? "before synchronization" : "on an idle connection");
        }
        if (loop.forgetServer(id)) {
            closeSocket();
        }
        reducer.onServerConnectionLost(loop.now(), id, kind);
    }

    private void recordSurplusData(String circumstance) {
        surplusDataLog.recordServer(endpoint, circumstance, loop.now() - answeredAt);
    }
}
