package org.acaciaport.node;

import java.util.List;
import org.acaciaport.pool.AccountTerms;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;

/**
 * Static method that tells whether a job can start at all under the limits of its client account.
 *
 * <p>Needs only the operators' configuration. Steps of single tasks may exceed a limit together, as they run in parts.
 */
final class AccountLimitCheck {
    private AccountLimitCheck() {}

    /**
     * Returns why a gang or a single task of {@code steps} can never start, for callers; empty if each can.
     *
     * @param configuration the operators' configuration; null if there is none yet, which limits nothing
     */
    static String findExcess(OperatorConfiguration configuration, String account, List<Step> steps) {
        if (configuration == null) {
            return "";
        }
        AccountTerms terms = configuration.accounts().getOrDefault(account, AccountTerms.NONE);
        for (int i = 0; i < steps.size(); i++) {
            Step step = steps.get(i);
            boolean gang = step.mode().gang();
            String excess = terms.describeExcess(Resources.sumOf(step.demand(), gang ? step.count() : 1));
            if (!excess.isEmpty()) {
                return "account " + account + " is limited: " + (gang ? "the gang of" : "a task of") + " step " + i
                        + " needs " + excess + "; ask for less, or for a higher limit";
            }
        }
        return "";
    }
}
