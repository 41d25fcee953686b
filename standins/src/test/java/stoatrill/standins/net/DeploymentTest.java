package stoatrill.standins.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.BindException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A node that is down keeps its port: another process that got it would keep the node from starting again. */
@Timeout(30)
class DeploymentTest {
    @Test
    void aNodeThatIsDownRefusesConnectionsAndKeepsItsPort() throws Exception {
        try (Deployment deployment = new Deployment(2, 0)) {
            InetSocketAddress address = deployment.views().get(1).address();
            deployment.kill(1);
            assertThrows(ConnectException.class, () -> connect(address));
            try (ServerSocket other = new ServerSocket()) {
                other.setReuseAddress(false); // as for a port that the system chooses
                assertThrows(BindException.class, () -> other.bind(address));
            }
            deployment.start(1);
            connect(address);
            assertEquals(address, deployment.views().get(1).address());
        }
    }

    private static void connect(InetSocketAddress address) throws Exception {
        try (Socket socket = new Socket()) {
            socket.connect(address);
        }
    }
}
