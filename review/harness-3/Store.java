import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's metadata store: a log with keyed topics, of which partition 0 is used. */
final class Store {
    /** How long an answer takes. */
    private static final int ANSWER_MILLIS = 4;

    private static final int PAGE_ITEMS = 500;
    private static final long KEEP_NANOS = 20_000_000_000L;

    private final Map<String, Topic> topics = new HashMap<>();
    private final List<HttpServer> servers = new ArrayList<>();

    /** Whether the store is partly down: it answers each read with 503, while it accepts appends. */
    volatile boolean refusesReads;

    /** A record of a topic. */
    private record Entry(byte[] bytes, long nanos) {
        String key() {
            return new String(bytes, 1, bytes[0] & 0xff, StandardCharsets.UTF_8);
        }

        byte[] value() {
            int from = 1 + (bytes[0] & 0xff);
            return java.util.Arrays.copyOfRange(bytes, from, bytes.length);
        }
    }

    /** The newest record of a key. */
    private record Newest(byte[] value, long offset) {}

    private static final class Producer {
        long epoch;
        long nextSequence = -1;
        final TreeMap<Long, Long> offsets = new TreeMap<>();
    }

    private static final class Topic {
        final List<Entry> entries = new ArrayList<>();
        long first;
        final TreeMap<String, Newest> newest = new TreeMap<>();
        final Map<String, Producer> producers = new HashMap<>();

        long end() {
            return first + entries.size();
        }
    }

    /** Listens for the calls of one node. */
    void start(String host, int port, int node) throws Exception {
        servers.add(Http.serve(host, port, exchange -> handle(exchange, node)));
    }

    void stop() {
        servers.forEach(server -> server.stop(0));
    }

    private synchronized Topic topic(String name) {
        return topics.computeIfAbsent(name, key -> new Topic());
    }

    /** Writes a record as the operator or a worker does; a null value deletes the key. */
    synchronized long put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = ByteBuffer.allocate(1 + name.length + content.length)
                .put((byte) name.length)
                .put(name)
                .put(content)
                .array();
        return append(topic(topic), List.of(bytes));
    }

    private long append(Topic topic, List<byte[]> records) {
        long offset = topic.end();
        long now = System.nanoTime();
        for (byte[] bytes : records) {
            Entry entry = new Entry(bytes, now);
            long at = topic.end();
            topic.entries.add(entry);
            byte[] value = entry.value();
            if (value.length == 0) {
                topic.newest.remove(entry.key());
            } else {
                topic.newest.put(entry.key(), new Newest(value, at));
            }
        }
        while (!topic.entries.isEmpty() && now - topic.entries.get(0).nanos > KEEP_NANOS) {
            topic.entries.remove(0);
            topic.first++;
        }
        notifyAll();
        return offset;
    }

    private void handle(HttpExchange exchange, int node) throws Exception {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Thread.sleep(ANSWER_MILLIS);
        if (refusesReads && !exchange.getRequestURI().getPath().equals("/log-append")) {
            Http.answer(exchange, 503, new byte[0]);
            return;
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/log-append" -> handleAppend(exchange, body);
            case "/log-read" -> handleRead(exchange);
            case "/log-newest" -> handleNewest(exchange);
            default -> Http.answer(exchange, 404, new byte[0]);
        }
    }

    private void handleAppend(HttpExchange exchange, byte[] body) throws Exception {
        List<byte[]> records = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(body);
        while (in.remaining() >= 4) {
            byte[] record = new byte[in.getInt()];
            in.get(record);
            records.add(record);
        }
        String at = Http.parameter(exchange, "at");
        String producer = Http.parameter(exchange, "producer_id");
        int status = 200;
        Map<String, Object> answer;
        synchronized (this) {
            Topic topic = topic(Http.parameter(exchange, "topic"));
            if (at != null && Long.parseLong(at) != topic.end()) {
                status = 412;
                answer = Json.map("end_offset", topic.end());
            } else if (producer != null) {
                long epoch = Long.parseLong(Http.parameter(exchange, "epoch"));
                long sequence = Long.parseLong(Http.parameter(exchange, "seq"));
                Producer state = topic.producers.computeIfAbsent(producer, key -> new Producer());
                if (epoch < state.epoch) {
                    status = 409;
                    answer = Json.map("reason", "fenced");
                } else {
                    if (epoch > state.epoch) {
                        state.epoch = epoch;
                        state.nextSequence = -1;
                        state.offsets.clear();
                    }
                    if (records.isEmpty()) {
                        answer = Json.map("offset", topic.end(), "end_offset", topic.end());
                    } else if (state.offsets.containsKey(sequence)) {
                        long offset = state.offsets.get(sequence);
                        answer = Json.map("offset", offset, "end_offset", offset + records.size());
                    } else if (state.nextSequence >= 0 && sequence != state.nextSequence) {
                        status = 409;
                        answer = Json.map("reason", "seq", "seq", state.nextSequence);
                    } else {
                        long offset = append(topic, records);
                        state.nextSequence = sequence + 1;
                        state.offsets.put(sequence, offset);
                        if (state.offsets.size() > 5) {
                            state.offsets.pollFirstEntry();
                        }
                        answer = Json.map("offset", offset, "end_offset", topic.end());
                    }
                }
            } else {
                long offset = append(topic, records);
                answer = Json.map("offset", offset, "end_offset", topic.end());
            }
        }
        Http.answerJson(exchange, status, answer);
    }

    private void handleRead(HttpExchange exchange) throws Exception {
        long from = Long.parseLong(Http.parameter(exchange, "from"));
        String wait = Http.parameter(exchange, "wait_ms");
        String kb = Http.parameter(exchange, "max_kb");
        long maxBytes = 1_024L * (kb == null ? 1_024 : Long.parseLong(kb));
        long deadline = System.nanoTime() + 1_000_000L * (wait == null ? 0 : Long.parseLong(wait));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        long first;
        synchronized (this) {
            Topic topic = topic(Http.parameter(exchange, "topic"));
            while (topic.end() <= from && System.nanoTime() < deadline) {
                wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
            }
            first = topic.first;
            if (from >= first) {
                DataOutputStream out = new DataOutputStream(bytes);
                out.writeLong(topic.end());
                out.writeLong(first);
                for (long i = from; i < topic.end(); i++) {
                    byte[] record = topic.entries.get((int) (i - first)).bytes;
                    if (bytes.size() + record.length + 4 > maxBytes) {
                        break;
                    }
                    out.writeInt(record.length);
                    out.write(record);
                }
            }
        }
        if (bytes.size() == 0) {
            Http.answerJson(exchange, 410, Json.map("first_offset", first));
        } else {
            Http.answer(exchange, 200, bytes.toByteArray());
        }
    }

    private void handleNewest(HttpExchange exchange) throws Exception {
        String after = Http.parameter(exchange, "after");
        List<Object> items = new ArrayList<>();
        boolean more = false;
        long end;
        synchronized (this) {
            Topic topic = topic(Http.parameter(exchange, "topic"));
            end = topic.end();
            Map<String, Newest> rest = after == null ? topic.newest : topic.newest.tailMap(after, false);
            for (Map.Entry<String, Newest> entry : rest.entrySet()) {
                if (items.size() == PAGE_ITEMS) {
                    more = true;
                    break;
                }
                items.add(Json.map(
                        "key", entry.getKey(),
                        "value", Base64.getEncoder().encodeToString(entry.getValue().value),
                        "offset", entry.getValue().offset));
            }
        }
        Http.answerJson(exchange, 200, Json.map("items", items, "has_more", more, "end_offset", end));
    }
}
