package stoatrill.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import stoatrill.http.ResponseParser.BadResponseException;
import stoatrill.http.ResponseParser.Response;

class ResponseParserTest {
    private final ResponseParser parser = new ResponseParser();

    /** Feeds a response byte by byte; returns its description once it is complete. */
    private String read(String text) throws BadResponseException {
        Response response = null;
        for (byte b : text.replace("~", "\r\n").getBytes(StandardCharsets.US_ASCII)) {
            assertNull(response, "complete before its last byte");
            response = parser.parse(ByteBuffer.wrap(new byte[] {b}));
        }
        return describe(response);
    }

    private static String describe(Response response) {
        return response == null
                ? "more"
                : response.status() + " " + new String(response.body(), StandardCharsets.US_ASCII)
                        + (response.reusable() ? " again" : " once");
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK~Content-Length: 3~~abc, 200 abc again",
        "HTTP/1.1 200 OK~content-length:0~~, 200  again",
        "HTTP/1.1 503 Busy~Connection: close~Content-Length: 1~~x, 503 x once",
        "HTTP/1.0 200 OK~Content-Length: 1~~x, 200 x once",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2;e=1~ab~1~c~0~~, 200 abc again",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~a~0~Trailer: x~~, 200 a again",
        "HTTP/1.1 204 None~~, 204  again",
        "HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~Content-Length: 1~~x, 200 x again",
        "HTTP/1.1 200 OK~Content-Length: 3~~ab, more",
    })
    void parsesResponsesFedByteByByte(String text, String expected) throws BadResponseException {
        assertEquals(expected, read(text));
    }

    @Test
    void bodyWithoutLengthEndsWhenConnectionCloses() throws BadResponseException {
        assertNull(parser.parse(ByteBuffer.wrap("HTTP/1.1 200 OK\r\n\r\nabc".getBytes(StandardCharsets.US_ASCII))));
        assertEquals("200 abc once", describe(parser.finishOnClose()));
    }

    @ParameterizedTest
    @CsvSource({
        "GARBAGE IN STEAD OF HTTP",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 200 OK~Content-Length: -1",
        "HTTP/1.1 200 OK~Content-Length: 99999999999",
        "HTTP/1.1 200 OK~no colon"
    })
    void rejectsMalformedResponses(String text) {
        assertThrows(
                BadResponseException.class,
                () -> parser.parse(
                        ByteBuffer.wrap((text.replace("~", "\r\n") + "\r\n").getBytes(StandardCharsets.US_ASCII))));
    }
}
