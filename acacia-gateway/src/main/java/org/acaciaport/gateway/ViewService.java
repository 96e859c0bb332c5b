package org.acaciaport.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.acaciaport.config.DataCentre;
import org.acaciaport.http.HttpCall;
import org.acaciaport.http.HttpProblem;
import org.acaciaport.http.HttpReply;
import org.acaciaport.http.HttpService;
import org.acaciaport.wire.Message;

/**
 * The operators' views on the gateway: configuration, data centres, schedulers and targets, besides what every program
 * has.
 *
 * <p>Safe for use by several threads.
 */
final class ViewService implements HttpService {
    private static final long ASK_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final HttpService common;
    private final Cells cells;
    private final Router router;

    ViewService(HttpService common, Cells cells, Router router) {
        this.common = common;
        this.cells = cells;
        this.router = router;
    }

    /**
     * One data centre as the gateway sees it.
     *
     * @param name its name
     * @param inService whether it is in service
     * @param leader address of the scheduler that leads it; empty if none is known
     * @param epoch epoch of that leader
     * @param waiting requests waiting there
     */
    record CellView(String name, boolean inService, String leader, long epoch, int waiting) {}

    /** All data centres, and the revision in force. */
    record CellsView(long revision, List<CellView> dataCentres) {}

    /**
     * One scheduler as the gateway sees it.
     *
     * @param address its address
     * @param answers whether it answered lately
     * @param dataCentre its data centre
     * @param leads whether it leads there
     * @param logAvailable whether it can reach the log
     * @param revision newest revision that it holds
     */
    record SchedulerView(
            String address, boolean answers, String dataCentre, boolean leads, boolean logAvailable, long revision) {}

    /** All schedulers that ever answered. */
    record SchedulersView(List<SchedulerView> schedulers) {}

    @Override
    public HttpReply answer(HttpCall call) throws HttpProblem {
        if (call.matches("GET", 2, "v1", "configuration")) {
            return HttpReply.ok(cells.table().active());
        }
        if (call.matches("GET", 2, "v1", "data-centres")) {
            return HttpReply.ok(cellsView());
        }
        if (call.matches("GET", 2, "v1", "schedulers")) {
            return HttpReply.ok(schedulersView());
        }
        if (call.matches("GET", 3, "v1", "targets")) {
            return targets(call.path().get(2));
        }
        return common.answer(call);
    }

    private CellsView cellsView() {
        RoutingTable table = cells.table();
        List<CellView> views = new ArrayList<>();
        for (DataCentre dataCentre : table.active().configuration().dataCentres()) {
            String name = dataCentre.name();
            String leader = table.leaderOf(name).orElse("");
            long epoch = leader.isEmpty() ? 0 : table.views().get(leader).view().epoch();
            views.add(new CellView(name, table.active().inService(name), leader, epoch, table.waitingAt(name)));
        }
        return new CellsView(table.active().revision(), views);
    }

    private SchedulersView schedulersView() {
        List<SchedulerView> views = new ArrayList<>();
        new TreeMap<>(cells.table().views()).forEach((address, seen) -> {
            Message.View view = seen.view();
            views.add(new SchedulerView(
                    address, seen.valid(), view.dataCentre(), view.leads(), view.logAvailable(), view.revision()));
        });
        return new SchedulersView(views);
    }

    private HttpReply targets(String dataCentre) throws HttpProblem {
        Message reply = router.askLeader(dataCentre, new Message.ListTargets(), System.nanoTime() + ASK_NANOS);
        return switch (reply) {
            case Message.Targets targets -> HttpReply.ok(targets);
            case Message.Refused refused -> throw CallerService.problem(refused);
            default -> throw HttpProblem.notFound("no leader for " + dataCentre, "try again once one leads");
        };
    }
}
