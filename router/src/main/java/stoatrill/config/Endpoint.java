package stoatrill.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses network addresses. Host names are not resolved: the platform has no DNS, and a lookup would block the calling
 * thread.
 */
public final class Endpoint {

    private Endpoint() {}

    /**
     * Parses a numeric address with a port, such as {@code 10.0.0.4:5433} or {@code [::1]:5433}.
     *
     * @throws ConfigException if the text is not of that form
     */
    public static InetSocketAddress parse(String text) throws ConfigException {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        boolean isNumeric = host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") || host.matches("\\[[0-9a-fA-F:.]+\\]");
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (isNumeric && port >= 0 && port <= 65535) {
                return new InetSocketAddress(InetAddress.getByName(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // reported below
        }
        throw new ConfigException("not a numeric address and port: " + text);
    }
}
