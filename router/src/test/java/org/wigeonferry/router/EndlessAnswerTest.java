package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * Guards against upstreams that send bytes which are no answer until their connection is closed, at
 * each place of an answer: memory that they fill, and processor time that sound requests lack.
 */
class EndlessAnswerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\n";
    private static final int PIECE_BYTES = 1 << 16;

    /** More than what an answer may have, in any place. */
    private static final long MAX_TAKEN_BYTES = 64L << 20;

    /** A request moves on well before its timeout of 3 s. */
    private static final Duration MOVES_ON = Duration.ofMillis(1500);

    /** Writes a start and then a piece again and again; adds up what was taken. */
    private static UpstreamScript flood(String start, String piece, long[] taken) {
        String block = piece.repeat(PIECE_BYTES / piece.length());
        byte[] bytes = block.getBytes(StandardCharsets.ISO_8859_1);
        return (head, socket) -> {
            write(socket, start);
            while (true) {
                socket.getOutputStream().write(bytes);
                taken[0] += bytes.length;
            }
        };
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    @ParameterizedTest
    @CsvSource({
        "garbage, '', x",
        "empty lines, '', '\r\n'",
        "status line, 'HTTP/1.1 200 ', x",
        "name of a field, 'HTTP/1.1 200 OK\r\n', x",
        "value of a field, 'HTTP/1.1 200 OK\r\nLong: ', x",
        "fields, 'HTTP/1.1 200 OK\r\n', 'A: b\r\n'",
        "interim answers, '', 'HTTP/1.1 103 Early Hints\r\n\r\n'",
        "upgrade, 'HTTP/1.1 101 Switching Protocols\r\n\r\n', x",
        "chunk size, 'CHUNKED', 0",
        "chunk extension, 'CHUNKED5;a=', x",
        "chunk extensions, 'CHUNKED', '1;a=bcdefghijklmnopqrstuvwxyz\r\nx\r\n'",
        "trailers, 'CHUNKED1\r\nx\r\n0\r\n', 'A: b\r\n'",
        "body, 'CLOSE', x"
    })
    void requestMovesOnFromBytesWithoutEnd(String place, String start, String piece)
            throws Exception {
        String text =
                start.replace("CHUNKED", HEAD + "Transfer-Encoding: chunked\r\n\r\n")
                        .replace("CLOSE", HEAD + "\r\n");
        for (String path : List.of("/safe/x", "/stream/x")) {
            long[] taken = new long[1];
            UpstreamScript good =
                    (head, socket) ->
                            write(socket, HEAD + "Content-Length: 12\r\n\r\ndata: good\n\n");
            try (ScriptedUpstream one = new ScriptedUpstream(flood(text, piece, taken));
                    ScriptedUpstream two = new ScriptedUpstream(good);
                    RouterHarness harness = new RouterHarness(List.of(one, two))) {
                long startNanos = System.nanoTime();
                String response = harness.exchange("GET", path, "");
                Duration elapsed = Duration.ofNanos(System.nanoTime() - startNanos);
                assertThat(response).as(place).contains("data: good");
                assertThat(elapsed).as(place).isLessThan(MOVES_ON);
                assertThat(taken[0]).as(place).isLessThan(MAX_TAKEN_BYTES);
            }
        }
    }
}
