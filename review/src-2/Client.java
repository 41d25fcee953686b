import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/** One connection of a client to a router. */
final class Client implements AutoCloseable {
    /** A final answer. */
    static final class Answer {
        /** The value; null unless served. */
        byte[] value;
        /** The SQLSTATE; null unless refused or failed. */
        String state;

        String message = "";
        boolean isEmpty;
        boolean isFatal;

        boolean isServed() {
            return value != null;
        }

        boolean isRefused() {
            return "53300".equals(state) || "57P03".equals(state);
        }

        @Override
        public String toString() {
            return isServed() ? "served " + value.length + " bytes" : state + " " + message;
        }
    }

    private final Socket socket;
    private final DataInputStream in;

    /** Connects and completes the startup. */
    Client(Socket socket) throws IOException {
        this(socket, new BufferedInputStream(socket.getInputStream(), 1 << 16));
    }

    Client(Socket socket, InputStream input) throws IOException {
        this.socket = socket;
        this.in = new DataInputStream(input);
        send(Wire.startup());
        while (true) {
            Wire.Message message = Wire.read(in, true);
            if (message.type == 'E') {
                throw new IOException("startup refused: " + message.errorField('C'));
            }
            if (message.type == 'Z') {
                return;
            }
        }
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Reads the answer to one query, up to ReadyForQuery; a fatal error needs none. */
    Answer readAnswer() throws IOException {
        Answer answer = new Answer();
        byte[] value = null;
        while (true) {
            Wire.Message message = Wire.read(in, true);
            switch (message.type) {
                case 'D' -> {
                    value = new byte[message.body.length - 6];
                    System.arraycopy(message.body, 6, value, 0, value.length);
                }
                case 'C' -> answer.value = value;
                case 'I' -> answer.isEmpty = true;
                case 'E' -> {
                    answer.state = message.errorField('C');
                    answer.message = message.errorField('M');
                    answer.value = null;
                    if (message.errorField('S').equals("FATAL")) {
                        answer.isFatal = true;
                        return answer;
                    }
                }
                case 'Z' -> {
                    return answer;
                }
                default -> {}
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
