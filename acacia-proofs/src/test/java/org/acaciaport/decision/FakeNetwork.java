package org.acaciaport.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The messages between the leader and its surroundings, which arrive late, twice or out of order at random.
 *
 * <p>No message is lost. Times are virtual, in milliseconds. Not thread-safe.
 */
final class FakeNetwork {
    private final VirtualTime time;
    private final RandomGenerator random;
    private final SimulatedLeader leader;
    private final Map<String, Long> lastArrivalByTarget = new HashMap<>();

    FakeNetwork(VirtualTime time, RandomGenerator random, SimulatedLeader leader) {
        this.time = time;
        this.random = random;
        this.leader = leader;
    }

    /** Delivers a message in no order relative to others. */
    void send(Runnable delivery) {
        time.schedule(randomDelayMillis(), delivery);
    }

    /** Delivers commands to a target in the order sent, except 1 in 100, which stands for a retry after a timeout. */
    void sendInOrder(String target, Runnable delivery) {
        long arrival = time.now() + randomDelayMillis();
        if (random.nextInt(100) > 0) {
            arrival = Math.max(arrival, lastArrivalByTarget.getOrDefault(target, 0L));
            lastArrivalByTarget.put(target, arrival);
        }
        time.scheduleAt(arrival, delivery);
    }

    /** Sends an event to the leader of {@code epoch}, if it still leads; 1 in 30 arrives twice. */
    void report(long epoch, Event event) {
        int copies = random.nextInt(30) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            send(() -> leader.handleIfLeading(epoch, event));
        }
    }

    /** Returns the delay of a message; 1 in 50 is so long that deadlines of the policy may pass. */
    private long randomDelayMillis() {
        return random.nextInt(50) == 0 ? random.nextLong(200, 3_500) : random.nextLong(1, 8);
    }
}
