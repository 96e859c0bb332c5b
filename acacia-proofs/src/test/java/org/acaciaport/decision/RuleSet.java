package org.acaciaport.decision;

import org.acaciaport.config.Profile;

/** The rule sets that {@link MeasureMain} compares: that of the programs and two simpler baselines. */
enum RuleSet {
    /** The rules that the programs use. */
    ACACIAPORT(new Rules()),
    /** First come, first served over all accounts at the first place that fits, without guarantees or preemption. */
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
    /** Highest priority first over all accounts, without guarantees, preemption or aging. */
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
