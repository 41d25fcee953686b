package stoatrill.core;

import java.net.InetSocketAddress;

/** Reducer effects that do nothing; a test overrides those that it checks. */
public abstract class QuietEffects implements Effects {
    @Override
    public void open(long connection, InetSocketAddress endpoint) {}

    @Override
    public void query(long connection, Statement statement, long waitMillis) {}

    @Override
    public boolean quiet(long connection) {
        return true;
    }

    @Override
    public void probe(long connection) {}

    @Override
    public void close(long connection) {}

    @Override
    public void answer(long client, long slot, Answer answer) {}

    @Override
    public void watch(boolean enabled) {}

    @Override
    public void fetch() {}

    @Override
    public void log(String line) {}
}
