import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Discovery: HTTP/1.1, the whole list and a watch that waits for what is newer. */
final class Listing implements AutoCloseable {
    private final ServerSocket listener;
    private final Record record;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> changed = new LinkedHashMap<>();
    private long version = 1;

    Listing(Record record) throws IOException {
        this.record = record;
        this.listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Cases.daemon("discovery", () -> {
            while (true) {
                Socket call = listener.accept();
                Cases.daemon("discovery call", () -> serve(call));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Puts an entry into the list, or changes it; all who watch are told. */
    synchronized void show(String uid, String endpoint, String zone, String state, boolean isWriter, long bootMillis) {
        entries.put(
                uid,
                String.format(
                        "{\"uid\":\"%s\",\"endpoint\":\"%s\",\"az\":\"%s\",\"model\":\"std-8\",\"pod_group\":0,"
                                + "\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":%d,\"access\":\"%s\"}",
                        uid, endpoint, zone, state, bootMillis, isWriter ? "writer" : "reader"));
        changed.put(uid, ++version);
        notifyAll();
    }

    /** The whole list, or what is newer than a version. */
    synchronized String list(long from) {
        StringBuilder targets = new StringBuilder();
        entries.forEach((uid, entry) -> {
            if (from < 0 || changed.get(uid) > from) {
                targets.append(targets.length() == 0 ? "" : ",").append(entry);
            }
        });
        return "{\"rev\":" + version + ",\"all\":" + (from < 0) + ",\"targets\":[" + targets + "]}";
    }

    private synchronized String waitFor(long from, long holdMillis) throws InterruptedException {
        long until = System.nanoTime() + holdMillis * 1_000_000L;
        while (from >= version && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000L));
        }
        return list(from);
    }

    private void serve(Socket call) throws IOException, InterruptedException {
        try (call) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(call.getInputStream(), StandardCharsets.US_ASCII));
            OutputStream out = call.getOutputStream();
            String first;
            while ((first = in.readLine()) != null) {
                for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
                    // no header matters here
                }
                String target = first.split(" ", -1)[1];
                byte[] body = waitFor(number(target, "from", -1), Math.min(60_000, number(target, "hold_ms", 0)))
                        .getBytes(StandardCharsets.UTF_8);
                out.write(Wire.join(
                        ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                                        + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII),
                        body));
                record.line("discovery answered %s", target);
            }
        }
    }

    private static long number(String target, String name, long other) {
        int at = target.indexOf(name + "=");
        return at < 0 ? other : Long.parseLong(target.substring(at + name.length() + 1).split("&", -1)[0]);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
