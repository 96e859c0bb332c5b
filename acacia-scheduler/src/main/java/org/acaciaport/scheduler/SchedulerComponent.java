package org.acaciaport.scheduler;

import dagger.Component;
import jakarta.inject.Singleton;

/** Dagger component that builds a {@link Scheduler} with its dependencies. */
@Singleton
@Component(modules = SchedulerModule.class)
interface SchedulerComponent {
    Scheduler scheduler();
}
