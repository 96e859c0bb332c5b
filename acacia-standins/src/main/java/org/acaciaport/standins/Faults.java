package org.acaciaport.standins;

import java.util.concurrent.atomic.AtomicReference;
import org.acaciaport.http.HttpProblem;

/**
 * The faults that a stand-in currently injects into its calls.
 *
 * <p>Thread-safe.
 */
final class Faults {
    private static final int UNAVAILABLE = 503;

    private final AtomicReference<Setting> setting = new AtomicReference<>(new Setting(false, 0, 0, false));

    /**
     * The faults to inject.
     *
     * @param down whether every call fails without effect
     * @param slowMillis delay before every call, in milliseconds
     * @param loseAnswers how many further changes take effect although the call reports an error
     * @param failAll whether every task fails
     */
    record Setting(boolean down, long slowMillis, int loseAnswers, boolean failAll) {}

    void set(Setting next) {
        setting.set(next);
    }

    boolean failsAllTasks() {
        return setting.get().failAll();
    }

    /**
     * Injects the faults due before a call takes effect.
     *
     * @throws HttpProblem if the call must fail without effect
     */
    void injectBeforeEffect() throws HttpProblem {
        Setting current = setting.get();
        if (current.slowMillis() > 0) {
            try {
                Thread.sleep(current.slowMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (setting.get().down()) {
            throw new HttpProblem(UNAVAILABLE, "down", "the stand-in is down", "bring it back");
        }
    }

    /**
     * Injects the faults due after a call took effect.
     *
     * @throws HttpProblem if the caller must not learn of the effect
     */
    void injectAfterEffect() throws HttpProblem {
        Setting previous = setting.getAndUpdate(
                s -> s.loseAnswers() > 0 ? new Setting(s.down(), s.slowMillis(), s.loseAnswers() - 1, s.failAll()) : s);
        if (previous.loseAnswers() > 0) {
            throw new HttpProblem(UNAVAILABLE, "lost", "the answer was lost after the effect", "ask what happened");
        }
    }
}
