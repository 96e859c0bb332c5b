package org.acaciaport.scheduler;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Target;
import org.acaciaport.decision.Command;
import org.acaciaport.decision.Member;
import org.acaciaport.platform.TargetClient;

/**
 * The sessions of one leader term with the targets of its data centre.
 *
 * <p>Each target has at most one open session. Not thread-safe; confined to the deciding thread of the term.
 */
final class TargetSessions {
    private final long epoch;
    private final SchedulerSettings settings;
    private final TargetClient client;
    private final Clock clock;
    private final TargetSession.Listener listener;
    private final Map<String, TargetSession> sessions = new HashMap<>();
    private final Map<String, Target> sessionTargets = new HashMap<>();

    TargetSessions(
            long epoch, SchedulerSettings settings, TargetClient client, Clock clock, TargetSession.Listener listener) {
        this.epoch = epoch;
        this.settings = settings;
        this.client = client;
        this.clock = clock;
        this.listener = listener;
    }

    /** Opens a session for each target that is new or changed in {@code active}; changed targets get a new session. */
    void open(ActiveConfiguration active) {
        for (Target target : active.configuration().targetsOf(settings.vm().dataCentre())) {
            if (target.equals(sessionTargets.get(target.id()))) {
                continue;
            }
            TargetSession previous = sessions.remove(target.id());
            if (previous != null) {
                previous.close();
            }
            TargetSession session =
                    new TargetSession(target, epoch, settings.leases().targetMillis(), client, clock, listener);
            sessions.put(target.id(), session);
            sessionTargets.put(target.id(), target);
            session.start();
        }
    }

    /**
     * Sends {@code command} to the target of {@code member}; drops it if there is no session with the target.
     *
     * @param stillWanted whether to go on retrying the command; queried on another thread
     */
    void send(Member member, Command command, Supplier<Boolean> stillWanted) {
        TargetSession session = sessions.get(member.target());
        if (session != null) {
            session.send(stillWanted, command);
        }
    }

    void close() {
        sessions.values().forEach(TargetSession::close);
    }
}
