package org.acaciaport.http;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.acaciaport.platform.PlatformException;
import org.acaciaport.platform.PlatformLog;
import org.acaciaport.platform.VmList;
import org.acaciaport.record.LogEntry;
import org.acaciaport.record.LogRecord;

/**
 * A client of the platform's log and VM list over HTTP.
 *
 * <p>Thread-safe.
 */
public final class HttpPlatform implements PlatformLog, VmList {
    private static final long CALL_TIMEOUT_MILLIS = 2_000;

    private final JsonClient client;
    private final String base;

    /** Creates a client of the platform at {@code base}, such as {@code http://10.0.0.1:7000}. */
    public HttpPlatform(JsonClient client, String base) {
        this.client = client;
        this.base = base;
    }

    /**
     * Body of an append request.
     *
     * @param writer unique name of the process
     * @param sequence sequence number of the first record
     * @param records the records
     */
    public record Append(String writer, long sequence, List<LogRecord> records) {}

    /**
     * Response to an append.
     *
     * @param offset offset of the first record appended
     */
    public record Appended(long offset) {}

    /**
     * Response to a read.
     *
     * @param entries the entries in the order of their offsets
     * @param first lowest offset that the log retains
     * @param end the offset after the newest entry
     */
    public record Entries(List<LogEntry> entries, long first, long end) {}

    /**
     * A VM on the list.
     *
     * @param id identifier of the VM
     * @param state {@code live} or {@code leaving}
     */
    public record Vm(String id, String state) {}

    /**
     * Response to a read of the VM list.
     *
     * @param vms all VMs on the list
     */
    public record Vms(List<Vm> vms) {}

    @Override
    public void append(String writer, long sequence, List<LogRecord> records) throws PlatformException {
        client.post(base + "/log/append", new Append(writer, sequence, records), Appended.class, CALL_TIMEOUT_MILLIS);
    }

    @Override
    public Page read(long from, int limit, long waitMillis) throws PlatformException {
        String uri = base + "/log/read?from=" + from + "&most=" + limit + "&wait=" + waitMillis;
        Entries entries = JsonClient.requireSuccess(uri, client.get(uri, CALL_TIMEOUT_MILLIS + waitMillis))
                .read(Entries.class);
        return new Page(entries.entries(), entries.first(), entries.end());
    }

    @Override
    public Set<String> leaving() throws PlatformException {
        String uri = base + "/vms";
        return JsonClient.requireSuccess(uri, client.get(uri, CALL_TIMEOUT_MILLIS)).read(Vms.class).vms().stream()
                .filter(vm -> vm.state().equals("leaving"))
                .map(Vm::id)
                .collect(Collectors.toSet());
    }
}
