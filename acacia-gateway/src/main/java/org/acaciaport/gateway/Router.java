package org.acaciaport.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.acaciaport.config.DataCentre;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireException;
import org.jboss.logging.Logger;

/**
 * Forwards each query to the leading scheduler of a data centre, and fails over to other data centres until the query's
 * deadline.
 *
 * <p>Sending a submission more than once is safe: the log resolves duplicates by their idempotency key, whichever
 * scheduler received the first one.
 *
 * <p>Deadlines are readings of {@link System#nanoTime}.
 *
 * <p>Thread-safe.
 */
final class Router {
    private static final Logger LOG = Logger.getLogger(Router.class);
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 800;

    /** Limits the shift that doubles the backoff, so that it cannot overflow. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /** Longest time to wait for one scheduler's reply, besides the wait that the query itself asks for. */
    private static final long CALL_TIMEOUT_MILLIS = 3_000;

    /** Separates the name of the home data centre from the rest of a request's identifier. */
    private static final char HOME_DELIMITER = '_';

    /** A data centre is overloaded if its queue is longer than the shortest one by more than this many requests. */
    private static final int OVERLOAD_EXCESS_REQUESTS = 500;

    private final GatewaySettings settings;
    private final SchedulerClients schedulers;
    private final MetricRegistry metrics;
    private final RetryBudget retryBudget = new RetryBudget();

    Router(GatewaySettings settings, SchedulerClients schedulers, MetricRegistry metrics) {
        this.settings = settings;
        this.schedulers = schedulers;
        this.metrics = metrics;
    }

    /**
     * Submits a request and returns the first definitive reply.
     *
     * <p>Without one, returns the last refusal once the deadline has passed, or an {@code UNAVAILABLE} refusal as soon
     * as the retry budget is exhausted.
     */
    Message submit(Message.Submit submit, long deadlineNanos) {
        retryBudget.deposit();
        Message lastReply = unavailable("no scheduler answered in time");
        for (int attempt = 0; remainingMillis(deadlineNanos) > 0; attempt++) {
            if (attempt > 0 && !retryBudget.tryWithdraw()) {
                return unavailable("no scheduler answered and too many requests are being retried");
            }
            for (String dataCentre : rankDataCentres(submit)) {
                Message reply = callLeader(dataCentre, submit, deadlineNanos);
                if (isDefinitive(reply)) {
                    return reply;
                }
                lastReply = reply instanceof Message.Refused ? reply : lastReply;
            }
            backOff(attempt, deadlineNanos);
        }
        return lastReply;
    }

    /**
     * Forwards {@code query} about the request with identifier {@code requestId} and returns the first definitive
     * reply.
     *
     * <p>Tries the request's home data centre first, then the others. Without a definitive reply, returns the last
     * refusal: at once if it is {@code NOT_FOUND}, otherwise after the deadline. Tries each data centre at least once,
     * even if the deadline has passed.
     */
    Message forward(String requestId, Message query, long deadlineNanos) {
        Message lastReply = notFound(requestId);
        for (int attempt = 0; attempt == 0 || remainingMillis(deadlineNanos) > 0; attempt++) {
            for (String dataCentre : dataCentresHomeFirst(requestId)) {
                Message reply = callLeader(dataCentre, query, deadlineNanos);
                if (isDefinitive(reply)) {
                    return reply;
                }
                lastReply = reply instanceof Message.Refused ? reply : lastReply;
            }
            if (lastReply instanceof Message.Refused refused && refused.kind() == Message.Refused.Kind.NOT_FOUND) {
                return lastReply;
            }
            backOff(attempt, deadlineNanos);
        }
        return lastReply;
    }

    /** Sends {@code query} to the leader of {@code dataCentre}, and follows at most one redirect. */
    Message callLeader(String dataCentre, Message query, long deadlineNanos) {
        Optional<String> leader = schedulers.routingTable().leaderOf(dataCentre);
        if (leader.isEmpty()) {
            return unavailable("no scheduler leads data centre " + dataCentre);
        }
        Message reply = call(leader.get(), query, deadlineNanos);
        if (reply instanceof Message.Elsewhere elsewhere
                && !elsewhere.address().isEmpty()
                && !elsewhere.address().equals(leader.get())) {
            return call(elsewhere.address(), query, deadlineNanos);
        }
        return reply;
    }

    private Message call(String address, Message query, long deadlineNanos) {
        long waitMillis = query instanceof Message.Find find ? find.waitMillis() : 0;
        try {
            return schedulers.call(
                    address,
                    query,
                    Math.max(1, Math.min(remainingMillis(deadlineNanos), CALL_TIMEOUT_MILLIS + waitMillis)));
        } catch (WireException e) {
            LOG.debugf("route: no reply, scheduler=%s, %s", address, e.getMessage());
            return unavailable("scheduler " + address + " did not answer");
        }
    }

    /**
     * Returns the data centres that can accept {@code submit}, the preferred one first.
     *
     * <p>Data centres that are not overloaded come first; within each group the local one leads, and a hash of the
     * idempotency key orders the others, so that repeated submissions try them in the same order.
     */
    private List<String> rankDataCentres(Message.Submit submit) {
        RoutingTable routingTable = schedulers.routingTable();
        String localDataCentre = settings.vm().dataCentre();
        List<String> rejected = new ArrayList<>();
        List<String> ranked = new ArrayList<>();
        for (DataCentre dataCentre :
                routingTable.activeConfiguration().configuration().dataCentres()) {
            String name = dataCentre.name();
            if (!routingTable.activeConfiguration().inService(name)) {
                rejected.add(name + ":out");
            } else if (routingTable.leaderOf(name).isEmpty()) {
                rejected.add(name + ":no-leader");
            } else {
                ranked.add(name);
            }
        }
        int shortestQueue =
                ranked.stream().mapToInt(routingTable::waitingRequests).min().orElse(0);
        ranked.sort(Comparator.comparingInt((String name) -> rank(routingTable, name, localDataCentre, shortestQueue))
                .thenComparingInt(name -> Hashing.murmur3_32_fixed()
                        .hashString(submit.account() + submit.key() + name, StandardCharsets.UTF_8)
                        .asInt()));
        LOG.infof(
                "route: account=%s key=%s order=%s why=own data centre first rejected=%s",
                submit.account(), submit.key(), ranked, rejected);
        metrics.meter("route.requests").mark();
        return ranked;
    }

    private static int rank(RoutingTable routingTable, String name, String localDataCentre, int shortestQueue) {
        boolean overloaded = routingTable.waitingRequests(name) - shortestQueue > OVERLOAD_EXCESS_REQUESTS;
        return (overloaded ? 2 : 0) + (name.equals(localDataCentre) ? 0 : 1);
    }

    private List<String> dataCentresHomeFirst(String requestId) {
        int homeEnd = requestId.indexOf(HOME_DELIMITER);
        String home = homeEnd < 0 ? settings.vm().dataCentre() : requestId.substring(0, homeEnd);
        List<String> names = new ArrayList<>();
        names.add(home);
        for (DataCentre dataCentre :
                schedulers.routingTable().activeConfiguration().configuration().dataCentres()) {
            if (!dataCentre.name().equals(home)) {
                names.add(dataCentre.name());
            }
        }
        return names;
    }

    /** Returns whether {@code reply} settles the query, so that no other scheduler need be asked. */
    private static boolean isDefinitive(Message reply) {
        return switch (reply) {
            case Message.Elsewhere elsewhere -> false;
            case Message.Refused refused ->
                refused.kind() == Message.Refused.Kind.INVALID || refused.kind() == Message.Refused.Kind.KEY_CONFLICT;
            default -> true;
        };
    }

    private static Message unavailable(String reason) {
        return new Message.Refused(
                Message.Refused.Kind.UNAVAILABLE, reason, "send the same request with the same key again");
    }

    private static Message notFound(String requestId) {
        return new Message.Refused(
                Message.Refused.Kind.NOT_FOUND,
                "no request '" + requestId + "' is known",
                "check the identifier, or submit again with the same key");
    }

    private static long remainingMillis(long deadlineNanos) {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }

    /** Sleeps for an exponential backoff with jitter, at most until the deadline. */
    private static void backOff(int attempt, long deadlineNanos) {
        long maxMillis =
                Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(attempt, MAX_BACKOFF_DOUBLINGS));
        long millis = Math.min(
                remainingMillis(deadlineNanos),
                maxMillis / 2 + ThreadLocalRandom.current().nextLong(maxMillis / 2 + 1));
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
