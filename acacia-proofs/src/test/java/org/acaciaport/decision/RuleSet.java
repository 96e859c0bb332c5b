package org.acaciaport.decision;

import org.acaciaport.config.Profile;

/** Simpler ways to decide, to measure against. */
enum RuleSet {
    /** The rules that the programs use. */
    ACACIAPORT(new Rules()),
    /** Arrival order over all accounts, the first place that fits, nothing taken back. */
    FIRST_FIT(new Rules() {
        @Override
        boolean preservesGuarantees(TargetState target, String account, int units) {
            return true;
        }

        @Override
        boolean claimsEnabled() {
            return false;
        }

        @Override
        boolean drainsForLargeJobs() {
            return false;
        }

        @Override
        boolean waitsFor(Profile profile, Profile other) {
            return false;
        }

        @Override
        long effectivePriority(Job job, long now, Policy policy) {
            return -job.sequence();
        }

        @Override
        long accountRank(int units, Job mostUrgent) {
            return mostUrgent.sequence();
        }
    }),
    /** Highest priority over all accounts first, nothing taken back, no aging. */
    STRICT_PRIORITY(new Rules() {
        @Override
        boolean preservesGuarantees(TargetState target, String account, int units) {
            return true;
        }

        @Override
        boolean claimsEnabled() {
            return false;
        }

        @Override
        boolean drainsForLargeJobs() {
            return false;
        }

        @Override
        long effectivePriority(Job job, long now, Policy policy) {
            return job.profile().priority();
        }

        @Override
        long accountRank(int units, Job mostUrgent) {
            return -mostUrgent.profile().priority();
        }
    });

    private final Rules rules;

    RuleSet(Rules rules) {
        this.rules = rules;
    }

    Rules rules() {
        return rules;
    }
}
