package org.acaciaport.node;

import java.util.function.Consumer;
import org.acaciaport.pool.Pool;
import org.acaciaport.pool.TargetInfo;
import org.jboss.logging.Logger;

/**
 * Passes the registrations of targets on to the sessions and the pool of a term.
 *
 * <p>Thread-safe. Both are used on the thread of the term only, to which each registration is posted.
 */
final class TargetRegistrations {
    private static final Logger LOG = Logger.getLogger(TargetRegistrations.class);

    private final TargetSessions sessions;
    private final Pool pool;
    private final Consumer<Runnable> post;

    /**
     * Creates a receiver of registrations.
     *
     * @param post passes work on to the thread of the term
     */
    TargetRegistrations(TargetSessions sessions, Pool pool, Consumer<Runnable> post) {
        this.sessions = sessions;
        this.pool = pool;
        this.post = post;
    }

    /** Adds or updates a registered target. */
    void register(TargetInfo info) {
        post.accept(() -> {
            logChange(sessions.register(info), info);
            pool.register(info);
        });
    }

    private static void logChange(TargetInfo previous, TargetInfo info) {
        if (previous == null
                || previous.draining() != info.draining()
                || previous.incarnation() != info.incarnation()) {
            LOG.infof(
                    "target: target=%s address=%s data_centre=%s incarnation=%s draining=%s",
                    info.id(), info.address(), info.dataCentre(), info.incarnation(), info.draining());
        }
    }

    /** Handles the removal of a target's registration. */
    void unregister(String id) {
        post.accept(() -> {
            LOG.infof("target: target=%s outcome=unregistered", id);
            sessions.unregister(id);
            pool.unregister(id);
        });
    }
}
