package org.acaciaport.scheduler;

import dagger.Component;
import jakarta.inject.Singleton;

/** Builds a {@link Scheduler}. */
@Singleton
@Component(modules = SchedulerModule.class)
interface SchedulerComponent {
    /** Returns the scheduler. */
    Scheduler scheduler();
}
