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
 * Sends each query to the scheduler that answers for it and tries others while there is time.
 *
 * <p>Safe for use by several threads. Asking twice is harmless: the key of a request decides on the log, whichever
 * scheduler was asked first.
 */
final class Router {
    private static final Logger LOG = Logger.getLogger(Router.class);
    private static final long PAUSE_MILLIS = 100;
    private static final long PAUSE_MOST_MILLIS = 800;
    private static final long TRY_MILLIS = 3_000;
    private static final char HOME_END = '_';

    /** Another data centre is preferred once this many more requests wait in the own one. */
    private static final int BACKLOG = 500;

    private final GatewaySettings settings;
    private final Cells cells;
    private final MetricRegistry metrics;
    private final RetryTokens tokens = new RetryTokens();

    Router(GatewaySettings settings, Cells cells, MetricRegistry metrics) {
        this.settings = settings;
        this.cells = cells;
        this.metrics = metrics;
    }

    /** Hands a request in and returns the first definite reply, or the last refusal once the deadline has passed. */
    Message submit(Message.Submit submit, long deadline) {
        tokens.earn();
        Message last = unavailable("no scheduler answered in time");
        for (int tries = 0; left(deadline) > 0; tries++) {
            if (tries > 0 && !tokens.spend()) {
                return unavailable("no scheduler answered and too many requests are being retried");
            }
            for (String dataCentre : order(submit)) {
                Message reply = askLeader(dataCentre, submit, deadline);
                if (definite(reply)) {
                    return reply;
                }
                last = reply instanceof Message.Refused ? reply : last;
            }
            pause(tries, deadline);
        }
        return last;
    }

    /** Asks about a request, wherever it is answered for. */
    Message about(String request, Message query, long deadline) {
        Message last = notFound(request);
        for (int tries = 0; tries == 0 || left(deadline) > 0; tries++) {
            for (String dataCentre : homeFirst(request)) {
                Message reply = askLeader(dataCentre, query, deadline);
                if (definite(reply)) {
                    return reply;
                }
                last = reply instanceof Message.Refused ? reply : last;
            }
            if (last instanceof Message.Refused refused && refused.kind() == Message.Refused.Kind.NOT_FOUND) {
                return last;
            }
            pause(tries, deadline);
        }
        return last;
    }

    /** Asks the leader of {@code dataCentre}, following one hint to another scheduler. */
    Message askLeader(String dataCentre, Message query, long deadline) {
        Optional<String> leader = cells.table().leaderOf(dataCentre);
        if (leader.isEmpty()) {
            return unavailable("no scheduler leads data centre " + dataCentre);
        }
        Message reply = ask(leader.get(), query, deadline);
        if (reply instanceof Message.Elsewhere elsewhere
                && !elsewhere.address().isEmpty()
                && !elsewhere.address().equals(leader.get())) {
            return ask(elsewhere.address(), query, deadline);
        }
        return reply;
    }

    private Message ask(String address, Message query, long deadline) {
        long wait = query instanceof Message.Find find ? find.waitMillis() : 0;
        try {
            return cells.ask(address, query, Math.max(1, Math.min(left(deadline), TRY_MILLIS + wait)));
        } catch (WireException e) {
            LOG.debugf("route: no reply, scheduler=%s, %s", address, e.getMessage());
            return unavailable("scheduler " + address + " did not answer");
        }
    }

    /** The own data centre first unless it is out or far behind, the others in an order fixed by the key. */
    private List<String> order(Message.Submit submit) {
        RoutingTable table = cells.table();
        String own = settings.vm().dataCentre();
        List<String> rejected = new ArrayList<>();
        List<String> order = new ArrayList<>();
        for (DataCentre dataCentre : table.active().configuration().dataCentres()) {
            String name = dataCentre.name();
            if (!table.active().inService(name)) {
                rejected.add(name + ":out");
            } else if (table.leaderOf(name).isEmpty()) {
                rejected.add(name + ":no-leader");
            } else {
                order.add(name);
            }
        }
        int least = order.stream().mapToInt(table::waitingAt).min().orElse(0);
        order.sort(Comparator.comparingInt((String name) -> rank(table, name, own, least))
                .thenComparingInt(name -> Hashing.murmur3_32_fixed()
                        .hashString(submit.account() + submit.key() + name, StandardCharsets.UTF_8)
                        .asInt()));
        LOG.infof(
                "route: account=%s key=%s order=%s why=own data centre first rejected=%s",
                submit.account(), submit.key(), order, rejected);
        metrics.meter("route.requests").mark();
        return order;
    }

    private static int rank(RoutingTable table, String name, String own, int least) {
        boolean behind = table.waitingAt(name) - least > BACKLOG;
        return (behind ? 2 : 0) + (name.equals(own) ? 0 : 1);
    }

    private List<String> homeFirst(String request) {
        int end = request.indexOf(HOME_END);
        String home = end < 0 ? settings.vm().dataCentre() : request.substring(0, end);
        List<String> order = new ArrayList<>();
        order.add(home);
        for (DataCentre dataCentre : cells.table().active().configuration().dataCentres()) {
            if (!dataCentre.name().equals(home)) {
                order.add(dataCentre.name());
            }
        }
        return order;
    }

    private static boolean definite(Message reply) {
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

    private static Message notFound(String request) {
        return new Message.Refused(
                Message.Refused.Kind.NOT_FOUND,
                "no request '" + request + "' is known",
                "check the identifier, or submit again with the same key");
    }

    private static long left(long deadline) {
        return TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
    }

    private static void pause(int tries, long deadline) {
        long most = Math.min(PAUSE_MOST_MILLIS, PAUSE_MILLIS << Math.min(tries, 4));
        long millis =
                Math.min(left(deadline), most / 2 + ThreadLocalRandom.current().nextLong(most / 2 + 1));
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
