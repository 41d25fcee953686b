package stoatrill.standins.net;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Discovery on a socket: the whole list, and a watch that waits for what is newer. May be called by any thread. */
public final class Discovery implements AutoCloseable {
    private static final long LONGEST_HOLD = 60_000;
    private final HttpServer server;
    private final ExecutorService calls = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, JsonObject> entries = new LinkedHashMap<>();
    private final Map<String, Long> changed = new LinkedHashMap<>();
    private long version = 1;
    private final Map<Integer, Long> open = new LinkedHashMap<>();
    private int silences;
    private boolean down;
    private boolean closed;

    public Discovery() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(calls);
        server.createContext("/v1/servers", this::serve);
        server.start();
    }

    public InetSocketAddress address() {
        return server.getAddress();
    }

    /** Puts an entry into the list; all who watch are told. */
    public synchronized void show(JsonObject entry) {
        String uid = entry.get("uid").getAsString();
        entries.put(uid, entry.deepCopy());
        changed.put(uid, ++version);
        notifyAll();
    }

    /** Changes one field of an entry. */
    public synchronized void change(String uid, String field, Object value) {
        JsonObject entry = entries.get(uid).deepCopy();
        if (value instanceof Number n) {
            entry.addProperty(field, n);
        } else {
            entry.addProperty(field, value.toString());
        }
        show(entry);
    }

    /** Every call fails from now on, or is answered again. */
    public synchronized void down(boolean isDown) {
        down = isDown;
        notifyAll();
    }

    /**
     * All open watches fall silent: they are never answered, and their connections stay open. Calls that come later
     * are answered. Returns when the wait of each would have ended (ns of {@link System#nanoTime}), by the port that
     * its caller connects from.
     */
    public synchronized Map<Integer, Long> silence() {
        silences++;
        return Map.copyOf(open);
    }

    /** The list as a router would have held it last. */
    public synchronized String known() {
        return list(-1).toString();
    }

    private synchronized JsonObject list(long from) {
        JsonObject list = new JsonObject();
        list.addProperty("rev", version);
        list.addProperty("all", from < 0);
        JsonArray targets = new JsonArray();
        entries.forEach((uid, e) -> {
            if (from < 0 ? !e.get("state").getAsString().equals("Gone") : changed.get(uid) > from) {
                targets.add(e);
            }
        });
        list.add("targets", targets);
        return list;
    }

    private void serve(HttpExchange call) throws IOException {
        try (call) {
            long from = -1;
            long hold = 0;
            String query = call.getRequestURI().getQuery();
            for (String part : query == null ? new String[0] : query.split("&")) {
                if (part.startsWith("from=")) {
                    from = Long.parseLong(part.substring(5));
                } else if (part.startsWith("hold_ms=")) {
                    hold = Math.min(LONGEST_HOLD, Long.parseLong(part.substring(8)));
                }
            }
            byte[] body = waitFor(call.getRemoteAddress().getPort(), from, hold);
            if (body == null) {
                call.sendResponseHeaders(503, -1);
            } else {
                call.getResponseHeaders().set("Content-Type", "application/json");
                call.sendResponseHeaders(200, body.length);
                call.getResponseBody().write(body);
            }
        } catch (NumberFormatException e) {
            call.sendResponseHeaders(400, -1);
        }
    }

    /** The answer once something newer exists or the time is up; null if the service is down. */
    private synchronized byte[] waitFor(int port, long from, long hold) {
        long until = System.nanoTime() + hold * 1_000_000L;
        int heard = silences;
        open.put(port, until);
        try {
            while (!down && !closed && (heard < silences || (from >= version && System.nanoTime() < until))) {
                wait(heard < silences ? 0 : Math.max(1, (until - System.nanoTime()) / 1_000_000L));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        } finally {
            open.remove(port, until);
        }
        return down || closed ? null : list(from).toString().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        server.stop(0);
        calls.shutdownNow();
    }
}
