package org.wigeonferry.stand_ins;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Streams one answer of a stand-in engine, a word at a time.
 *
 * <p>One word is on its way at a time, so no lock is needed.
 */
final class EngineStream {
    private static final String END_MARK = "data: [DONE]\n\n";

    private final Response response;
    private final Callback callback;
    private final String[] words;
    private final Duration pause;
    private final ScheduledThreadPoolExecutor timer;
    private final EngineLoad load;
    private final int generation;
    private int position;

    EngineStream(
            Response response,
            Callback callback,
            String[] words,
            Duration pause,
            ScheduledThreadPoolExecutor timer,
            EngineLoad load) {
        this.response = response;
        this.callback = callback;
        this.words = words;
        this.pause = pause;
        this.timer = timer;
        this.load = load;
        this.generation = load.generation();
    }

    void next() {
        if (position == words.length) {
            load.answered(generation);
            response.write(true, utf8(END_MARK), callback);
            return;
        }
        String event = "data: " + delta(words[position]) + "\n\n";
        position++;
        response.write(false, utf8(event), Callback.from(this::schedule, this::cancel));
    }

    private void schedule() {
        try {
            timer.schedule(this::next, pause.toNanos(), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            cancel(e);
        }
    }

    private void cancel(Throwable failure) {
        load.cancelled(generation);
        callback.failed(failure);
    }

    private static String delta(String word) {
        var json = JsonHttpClient.newObject();
        json.putArray("choices").addObject().putObject("delta").put("content", word);
        return json.toString();
    }

    private static ByteBuffer utf8(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
