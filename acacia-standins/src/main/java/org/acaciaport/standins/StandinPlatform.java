package org.acaciaport.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.acaciaport.http.HttpCall;
import org.acaciaport.http.HttpProblem;
import org.acaciaport.http.HttpReply;
import org.acaciaport.http.HttpService;
import org.acaciaport.wire.Codecs;

/**
 * A stand-in for the platform: an append-only log and a list of leaving VMs, in memory.
 *
 * <p>Safe for use by several threads. Offsets have no gaps; records are kept as they came.
 */
final class StandinPlatform implements HttpService {
    private final Faults faults = new Faults();
    private final List<JsonNode> entries = new ArrayList<>();
    private final Set<String> leaving = new TreeSet<>();
    private long first;

    /** Where an append begins. */
    record Appended(long offset) {}

    /** What was read. */
    record Entries(List<JsonNode> entries, long first, long end) {}

    /** One VM on the list. */
    record Vm(String id, String state) {}

    /** The list. */
    record Vms(List<Vm> vms) {}

    /** What an administrative call answers. */
    record Ok(boolean ok) {}

    @Override
    public HttpReply answer(HttpCall call) throws HttpProblem {
        if (call.matches("POST", 1, "faults")) {
            faults.set(call.read(Faults.Setting.class));
            return HttpReply.ok(new Ok(true));
        }
        if (call.matches("PUT", 2, "leaving")) {
            return mark(call.path().get(1), true);
        }
        if (call.matches("DELETE", 2, "leaving")) {
            return mark(call.path().get(1), false);
        }
        if (call.matches("POST", 2, "log", "expire")) {
            return expire(call.number("before", 0, Long.MAX_VALUE));
        }
        faults.before();
        if (call.matches("POST", 2, "log", "append")) {
            long offset = append(call.read(JsonNode.class));
            faults.after();
            return HttpReply.ok(new Appended(offset));
        }
        if (call.matches("GET", 2, "log", "read")) {
            return HttpReply.ok(read(call));
        }
        if (call.matches("GET", 1, "vms")) {
            return HttpReply.ok(vms());
        }
        throw HttpProblem.notFound("no such path", "see the platform's interface");
    }

    private synchronized long append(JsonNode body) {
        long offset = first + entries.size();
        long sequence = body.get("sequence").asLong();
        for (JsonNode record : body.get("records")) {
            entries.add(Codecs.json()
                    .createObjectNode()
                    .put("offset", first + entries.size())
                    .put("writer", body.get("writer").asText())
                    .put("sequence", sequence++)
                    .set("record", record));
        }
        notifyAll();
        return offset;
    }

    private synchronized Entries read(HttpCall call) throws HttpProblem {
        long from = call.number("from", 0, Long.MAX_VALUE);
        int most = (int) call.number("most", 1_000, 10_000);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(call.number("wait", 0, 60_000));
        while (first + entries.size() <= from) {
            long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            if (left <= 0) {
                break;
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        int size = entries.size();
        int begin = (int) Math.min(size, Math.max(0, from - first));
        int end = Math.min(size, begin + most);
        return new Entries(List.copyOf(entries.subList(begin, end)), first, first + size);
    }

    private synchronized HttpReply expire(long before) {
        while (first < before && !entries.isEmpty()) {
            entries.removeFirst();
            first++;
        }
        return HttpReply.ok(new Ok(true));
    }

    private synchronized HttpReply mark(String vm, boolean leaves) {
        if (leaves) {
            leaving.add(vm);
        } else {
            leaving.remove(vm);
        }
        return HttpReply.ok(new Ok(true));
    }

    private synchronized Vms vms() {
        return new Vms(leaving.stream().map(id -> new Vm(id, "leaving")).toList());
    }
}
