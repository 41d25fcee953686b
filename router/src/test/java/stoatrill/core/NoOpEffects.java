package stoatrill.core;

import java.net.InetSocketAddress;

/** Reducer effects that do nothing; a test overrides those that it checks. */
public abstract class NoOpEffects implements Effects {
    @Override
    public void openConnection(long connection, InetSocketAddress endpoint) {}

    @Override
    public void sendQuery(long connection, Statement statement, long waitMillis) {}

    @Override
    public void synchronize(long connection) {}

    @Override
    public boolean hasNoUnreadData(long connection) {
        return true;
    }

    @Override
    public void sendProbe(long connection) {}

    @Override
    public void closeConnection(long connection) {}

    @Override
    public void answerClient(long client, long slot, Answer answer) {}

    @Override
    public void watchServerList(boolean enabled) {}

    @Override
    public void fetchServerList() {}

    @Override
    public void log(String line) {}
}
