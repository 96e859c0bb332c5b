package org.acaciaport.standins;

import java.util.concurrent.atomic.AtomicReference;
import org.acaciaport.http.HttpProblem;

/**
 * Faults that a stand-in shows at present.
 *
 * <p>Safe for use by several threads.
 */
final class Faults {
    private static final int UNAVAILABLE = 503;

    private final AtomicReference<Setting> setting = new AtomicReference<>(new Setting(false, 0, 0, false));

    /**
     * What to do wrong.
     *
     * @param down whether to refuse every call without effect
     * @param slowMillis how long to wait before every call
     * @param loseAnswers how many further changes to make without confirming them
     * @param failAll whether every task fails
     */
    record Setting(boolean down, long slowMillis, int loseAnswers, boolean failAll) {}

    void set(Setting next) {
        setting.set(next);
    }

    boolean failsAll() {
        return setting.get().failAll();
    }

    /** Shows the faults that come before a call takes effect. */
    void before() throws HttpProblem {
        Setting now = setting.get();
        if (now.slowMillis() > 0) {
            try {
                Thread.sleep(now.slowMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (setting.get().down()) {
            throw new HttpProblem(UNAVAILABLE, "down", "the stand-in is down", "bring it back");
        }
    }

    /** Shows the faults that come after a call took effect. */
    void after() throws HttpProblem {
        Setting before = setting.getAndUpdate(
                s -> s.loseAnswers() > 0 ? new Setting(s.down(), s.slowMillis(), s.loseAnswers() - 1, s.failAll()) : s);
        if (before.loseAnswers() > 0) {
            throw new HttpProblem(UNAVAILABLE, "lost", "the answer was lost after the effect", "ask what happened");
        }
    }
}
