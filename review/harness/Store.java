import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/** A stand-in of the platform's store: keyed topics with one partition each. Each node calls it at a port of its own. */
final class Store {
    static final ObjectMapper MAPPER = new ObjectMapper();

    enum Mode {
        SOUND,
        SILENT,
        BUSY,
        RESET
    }

    /** How the store treats the calls of one node. */
    static final class Door {
        volatile Mode mode = Mode.SOUND;
        volatile double lostShare;
        volatile boolean lostLate;
        volatile int slowMillis;
    }

    private record Rec(String key, byte[] value, long offset, long millis) {}

    private record Producer(long epoch, long sequence, List<long[]> last) {}

    private static final class Topic {
        final List<Rec> records = new ArrayList<>();
        long first;
        final TreeMap<String, Rec> newest = new TreeMap<>();
        final Map<String, Producer> producers = new HashMap<>();

        long end() {
            return first + records.size();
        }
    }

    private static final int CALL_BYTES = 2_097_152;
    private static final int RECORD_BYTES = 262_144;

    private final Ledger ledger;
    private final Map<String, Topic> topics = new HashMap<>();
    private final long keepMillis;
    final int pageItems;

    Store(Ledger ledger, long keepMillis) {
        this.ledger = ledger;
        this.keepMillis = keepMillis;
        pageItems = 500;
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, n -> new Topic());
    }

    /** Writes a record as the operator or a worker does; an empty value drops the key. Returns its offset. */
    synchronized long put(String topicName, String key, byte[] value) {
        Topic topic = topic(topicName);
        Rec rec = new Rec(key, value, topic.end(), System.currentTimeMillis());
        topic.records.add(rec);
        if (value.length == 0) {
            topic.newest.remove(key);
        } else {
            topic.newest.put(key, rec);
        }
        while (!topic.records.isEmpty() && rec.millis() - topic.records.get(0).millis() > keepMillis) {
            topic.records.remove(0);
            topic.first++;
        }
        notifyAll();
        return rec.offset();
    }

    Http.Handler door(Door door) {
        return request -> {
            switch (door.mode) {
                case SILENT -> {
                    return null;
                }
                case RESET -> {
                    return Http.RESET;
                }
                case BUSY -> {
                    return Http.Reply.json(503, "{}");
                }
                case SOUND -> {}
            }
            Thread.sleep(4 + door.slowMillis);
            boolean lost = request.method().equals("POST") && ThreadLocalRandom.current().nextDouble() < door.lostShare;
            if (lost && door.lostLate) {
                Thread.ofVirtual().start(() -> {
                    try {
                        Thread.sleep(1_000 + ThreadLocalRandom.current().nextInt(5_000));
                        answer(request);
                    } catch (Exception e) {
                        // The late call fails.
                    }
                });
                return null;
            }
            Http.Reply reply = answer(request);
            return lost || door.mode == Mode.SILENT ? null : reply;
        };
    }

    private Http.Reply answer(Http.Request request) throws Exception {
        return switch (request.path()) {
            case "/log-append" -> append(request);
            case "/log-read" -> read(request);
            case "/log-newest" -> newest(request);
            default -> Http.Reply.json(404, "{}");
        };
    }

    private synchronized Http.Reply append(Http.Request request) {
        Map<String, String> query = request.query();
        Topic topic = topic(query.get("topic"));
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != topic.end()) {
            return Http.Reply.json(412, "{\"end_offset\":" + topic.end() + "}");
        }
        List<Rec> parsed = new ArrayList<>();
        ByteBuffer in = ByteBuffer.wrap(request.body());
        if (request.body().length > CALL_BYTES) {
            ledger.log("store   refuses an append of %s bytes: over call_bytes", request.body().length);
            return Http.Reply.json(400, "{}");
        }
        while (in.hasRemaining()) {
            int length = in.getInt();
            if (length > RECORD_BYTES) {
                ledger.log("store   refuses a record of %s bytes: over record_bytes", length);
                return Http.Reply.json(400, "{}");
            }
            byte[] key = new byte[in.get() & 0xff];
            in.get(key);
            byte[] value = new byte[length - 1 - key.length];
            in.get(value);
            parsed.add(new Rec(new String(key, StandardCharsets.UTF_8), value, 0, 0));
        }
        String producerId = query.get("producer_id");
        if (producerId != null) {
            long epoch = Long.parseLong(query.get("epoch"));
            long seq = Long.parseLong(query.get("seq"));
            Producer producer = topic.producers.get(producerId);
            if (producer != null && epoch < producer.epoch()) {
                return Http.Reply.json(409, "{\"reason\":\"fenced\"}");
            }
            if (producer != null && epoch == producer.epoch() && !parsed.isEmpty()) {
                for (long[] earlier : producer.last()) {
                    if (earlier[0] == seq) {
                        return Http.Reply.json(
                                200, "{\"offset\":" + earlier[1] + ",\"end_offset\":" + earlier[2] + "}");
                    }
                }
                if (producer.sequence() >= 0 && seq != producer.sequence() + 1) {
                    return Http.Reply.json(409, "{\"reason\":\"seq\",\"seq\":" + (producer.sequence() + 1) + "}");
                }
            }
            boolean newEpoch = producer == null || epoch > producer.epoch();
            List<long[]> last = newEpoch ? new ArrayList<>() : producer.last();
            if (!parsed.isEmpty()) {
                last.add(new long[] {seq, topic.end(), topic.end() + parsed.size()});
                if (last.size() > 5) {
                    last.remove(0);
                }
            }
            long sequence = parsed.isEmpty() ? (newEpoch ? -1 : producer.sequence()) : seq;
            topic.producers.put(producerId, new Producer(epoch, sequence, last));
        }
        long offset = topic.end();
        for (Rec rec : parsed) {
            put(query.get("topic"), rec.key(), rec.value());
        }
        return Http.Reply.json(200, "{\"offset\":" + offset + ",\"end_offset\":" + topic.end() + "}");
    }

    private synchronized Http.Reply read(Http.Request request) throws Exception {
        Map<String, String> query = request.query();
        Topic topic = topic(query.get("topic"));
        long from = Long.parseLong(query.get("from"));
        long maxBytes = Long.parseLong(query.getOrDefault("max_kb", "1024")) * 1024;
        long deadline = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (from >= topic.end() && System.nanoTime() < deadline) {
            wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
        }
        if (from < topic.first) {
            return Http.Reply.json(410, "{\"first_offset\":" + topic.first + "}");
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(topic.end());
        out.writeLong(topic.first);
        for (long offset = from; offset < topic.end(); offset++) {
            Rec rec = topic.records.get((int) (offset - topic.first));
            byte[] key = rec.key().getBytes(StandardCharsets.UTF_8);
            if (bytes.size() + 5 + key.length + rec.value().length > maxBytes + 16) {
                break;
            }
            out.writeInt(1 + key.length + rec.value().length);
            out.writeByte(key.length);
            out.write(key);
            out.write(rec.value());
        }
        return new Http.Reply(200, bytes.toByteArray(), "application/octet-stream");
    }

    private synchronized Http.Reply newest(Http.Request request) throws IOException {
        Topic topic = topic(request.query().get("topic"));
        String after = request.query().getOrDefault("after", "");
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode items = body.putArray("items");
        boolean more = false;
        for (Rec rec : topic.newest.tailMap(after, false).values()) {
            if (items.size() == pageItems) {
                more = true;
                break;
            }
            items.addObject()
                    .put("key", rec.key())
                    .put("value", Base64.getEncoder().encodeToString(rec.value()))
                    .put("offset", rec.offset());
        }
        body.put("has_more", more).put("end_offset", topic.end());
        return new Http.Reply(200, MAPPER.writeValueAsBytes(body), "application/json");
    }
}
