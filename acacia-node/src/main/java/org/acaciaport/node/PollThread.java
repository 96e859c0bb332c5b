package org.acaciaport.node;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The thread that polls a target, for as long as reports are needed.
 *
 * <p>Thread-safe; its state is guarded by the lock of the link. Invariant: there is at most one thread. If it ends by
 * an exception, another one can be started.
 */
final class PollThread {
    private final String target;
    private final TargetLink link;
    private final BooleanSupplier needed;
    private final Runnable poll;
    private final Consumer<String> onFailure;
    private Thread thread;

    /**
     * Creates a thread that is not started.
     *
     * @param needed whether a report is needed; called with the lock of the link
     * @param poll requests one report
     * @param onFailure called with the reason if {@code poll} throws
     */
    PollThread(String target, TargetLink link, BooleanSupplier needed, Runnable poll, Consumer<String> onFailure) {
        this.target = target;
        this.link = link;
        this.needed = needed;
        this.poll = poll;
        this.onFailure = onFailure;
    }

    /** Starts the thread if a report is needed and there is none. */
    void startIfNeeded() {
        synchronized (link) {
            if (needed.getAsBoolean() && thread == null && !link.isClosed()) {
                thread = Thread.ofVirtual().name("target-" + target).start(this::run);
            }
        }
    }

    private boolean shouldContinue() {
        synchronized (link) {
            if (link.isClosed() || !needed.getAsBoolean()) {
                thread = null;
                return false;
            }
            return true;
        }
    }

    private void run() {
        try {
            while (shouldContinue()) {
                BackgroundTasks.run("target-" + target, poll, onFailure);
            }
        } finally {
            release();
        }
    }

    /** Lets another thread poll the target if this one still does, so if it ends by an exception. */
    private void release() {
        synchronized (link) {
            if (thread == Thread.currentThread()) {
                thread = null;
            }
        }
    }
}
