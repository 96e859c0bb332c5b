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
 * An in-memory stand-in for the platform: an append-only log and a list of the VMs that are about to leave.
 *
 * <p>Offsets have no gaps. Records are stored as received, without validation or deduplication.
 *
 * <p>Thread-safe.
 */
final class StandinPlatform implements HttpService {
    private final Faults faults = new Faults();
    private final List<JsonNode> entries = new ArrayList<>();
    private final Set<String> leavingVms = new TreeSet<>();

    /** Offset of the oldest entry that has not expired. */
    private long firstOffset;

    /** The response to an append: the offset of its first record. */
    record Appended(long offset) {}

    /**
     * The response to a read.
     *
     * @param entries the entries, in order of offset
     * @param first lowest offset that the log still keeps
     * @param end offset after the newest entry
     */
    record Entries(List<JsonNode> entries, long first, long end) {}

    /** One VM and its state, which is always {@code leaving}. */
    record Vm(String id, String state) {}

    /** The VMs that are about to leave. */
    record Vms(List<Vm> vms) {}

    /** The response to a call that controls the stand-in. */
    record Ok(boolean ok) {}

    @Override
    public HttpReply handle(HttpCall call) throws HttpProblem {
        if (call.matches("POST", 1, "faults")) {
            faults.set(call.read(Faults.Setting.class));
            return HttpReply.ok(new Ok(true));
        }
        if (call.matches("PUT", 2, "leaving")) {
            return setLeaving(call.path().get(1), true);
        }
        if (call.matches("DELETE", 2, "leaving")) {
            return setLeaving(call.path().get(1), false);
        }
        if (call.matches("POST", 2, "log", "expire")) {
            return expire(call.longParameter("before", 0, Long.MAX_VALUE));
        }
        faults.injectBeforeEffect();
        if (call.matches("POST", 2, "log", "append")) {
            long offset = append(call.read(JsonNode.class));
            faults.injectAfterEffect();
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
        long offset = firstOffset + entries.size();
        long sequence = body.get("sequence").asLong();
        for (JsonNode record : body.get("records")) {
            entries.add(Codecs.json()
                    .createObjectNode()
                    .put("offset", firstOffset + entries.size())
                    .put("writer", body.get("writer").asText())
                    .put("sequence", sequence++)
                    .set("record", record));
        }
        notifyAll();
        return offset;
    }

    private synchronized Entries read(HttpCall call) throws HttpProblem {
        long from = call.longParameter("from", 0, Long.MAX_VALUE);
        int limit = (int) call.longParameter("most", 1_000, 10_000);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(call.longParameter("wait", 0, 60_000));
        while (firstOffset + entries.size() <= from) {
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            if (remainingMillis <= 0) {
                break;
            }
            try {
                wait(remainingMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        int size = entries.size();
        int begin = (int) Math.min(size, Math.max(0, from - firstOffset));
        int end = Math.min(size, begin + limit);
        return new Entries(List.copyOf(entries.subList(begin, end)), firstOffset, firstOffset + size);
    }

    /** Discards the entries at offsets below {@code endOffset}. */
    private synchronized HttpReply expire(long endOffset) {
        while (firstOffset < endOffset && !entries.isEmpty()) {
            entries.removeFirst();
            firstOffset++;
        }
        return HttpReply.ok(new Ok(true));
    }

    private synchronized HttpReply setLeaving(String vm, boolean leaving) {
        if (leaving) {
            leavingVms.add(vm);
        } else {
            leavingVms.remove(vm);
        }
        return HttpReply.ok(new Ok(true));
    }

    private synchronized Vms vms() {
        return new Vms(leavingVms.stream().map(id -> new Vm(id, "leaving")).toList());
    }
}
