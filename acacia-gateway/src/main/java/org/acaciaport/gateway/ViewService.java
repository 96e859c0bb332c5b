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
 * The HTTP interface for operators: read-only views of the configuration, the data centres, the schedulers and the
 * targets. Passes all other calls on to the service that every server program has.
 *
 * <p>Thread-safe.
 */
final class ViewService implements HttpService {
    private static final long QUERY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final HttpService commonService;
    private final SchedulerClients schedulers;
    private final Router router;

    ViewService(HttpService commonService, SchedulerClients schedulers, Router router) {
        this.commonService = commonService;
        this.schedulers = schedulers;
        this.router = router;
    }

    /**
     * One data centre as the gateway sees it.
     *
     * @param name name of the data centre
     * @param inService whether the data centre is in service
     * @param leader address of the scheduler that leads the data centre; empty if none is known
     * @param epoch epoch of the leader; 0 if none is known
     * @param waiting number of requests that wait at the leader
     */
    record DataCentreView(String name, boolean inService, String leader, long epoch, int waiting) {}

    /**
     * All data centres of the configuration in force.
     *
     * @param revision revision of the configuration in force; -1 before the first
     * @param dataCentres the data centres, in the order of the configuration
     */
    record DataCentresView(long revision, List<DataCentreView> dataCentres) {}

    /**
     * One scheduler as the gateway sees it.
     *
     * @param address address of the scheduler
     * @param answers whether its last view is still fresh
     * @param dataCentre name of its data centre
     * @param leads whether it leads its data centre
     * @param logAvailable whether it can reach the log
     * @param revision newest configuration revision that it holds
     */
    record SchedulerView(
            String address, boolean answers, String dataCentre, boolean leads, boolean logAvailable, long revision) {}

    /** All schedulers that have answered since the gateway started, ordered by address. */
    record SchedulersView(List<SchedulerView> schedulers) {}

    @Override
    public HttpReply handle(HttpCall call) throws HttpProblem {
        if (call.matches("GET", 2, "v1", "configuration")) {
            return HttpReply.ok(schedulers.routingTable().activeConfiguration());
        }
        if (call.matches("GET", 2, "v1", "data-centres")) {
            return HttpReply.ok(dataCentresView());
        }
        if (call.matches("GET", 2, "v1", "schedulers")) {
            return HttpReply.ok(schedulersView());
        }
        if (call.matches("GET", 3, "v1", "targets")) {
            return listTargets(call.path().get(2));
        }
        return commonService.handle(call);
    }

    private DataCentresView dataCentresView() {
        RoutingTable routingTable = schedulers.routingTable();
        List<DataCentreView> views = new ArrayList<>();
        for (DataCentre dataCentre :
                routingTable.activeConfiguration().configuration().dataCentres()) {
            String name = dataCentre.name();
            String leader = routingTable.leaderOf(name).orElse("");
            long epoch = leader.isEmpty()
                    ? 0
                    : routingTable.views().get(leader).view().epoch();
            views.add(new DataCentreView(
                    name,
                    routingTable.activeConfiguration().inService(name),
                    leader,
                    epoch,
                    routingTable.waitingRequests(name)));
        }
        return new DataCentresView(routingTable.activeConfiguration().revision(), views);
    }

    private SchedulersView schedulersView() {
        List<SchedulerView> views = new ArrayList<>();
        new TreeMap<>(schedulers.routingTable().views()).forEach((address, cachedView) -> {
            Message.View view = cachedView.view();
            views.add(new SchedulerView(
                    address,
                    cachedView.isFresh(),
                    view.dataCentre(),
                    view.leads(),
                    view.logAvailable(),
                    view.revision()));
        });
        return new SchedulersView(views);
    }

    private HttpReply listTargets(String dataCentre) throws HttpProblem {
        Message reply =
                router.callLeader(dataCentre, new Message.ListTargets(), System.nanoTime() + QUERY_TIMEOUT_NANOS);
        return switch (reply) {
            case Message.Targets targets -> HttpReply.ok(targets);
            case Message.Refused refused -> throw CallerService.toHttpProblem(refused);
            default -> throw HttpProblem.notFound("no leader for " + dataCentre, "try again once one leads");
        };
    }
}
