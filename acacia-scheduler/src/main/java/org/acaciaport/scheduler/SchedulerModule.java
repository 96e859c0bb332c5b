package org.acaciaport.scheduler;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import org.acaciaport.decision.Decider;
import org.acaciaport.decision.Policy;
import org.acaciaport.http.HttpPlatform;
import org.acaciaport.http.HttpTargetClient;
import org.acaciaport.http.JsonClient;
import org.acaciaport.platform.PlatformLog;
import org.acaciaport.platform.TargetClient;
import org.acaciaport.platform.VmList;

/** Provides the dependencies of {@link Scheduler}; the platform and the targets are reached over HTTP. */
@Module
final class SchedulerModule {
    private final SchedulerSettings settings;
    private final JsonClient client;

    SchedulerModule(SchedulerSettings settings, JsonClient client) {
        this.settings = settings;
        this.client = client;
    }

    @Provides
    SchedulerSettings settings() {
        return settings;
    }

    @Provides
    @Singleton
    HttpPlatform platform() {
        return new HttpPlatform(client, settings.platform().address());
    }

    @Provides
    PlatformLog log(HttpPlatform platform) {
        return platform;
    }

    @Provides
    VmList vms(HttpPlatform platform) {
        return platform;
    }

    @Provides
    TargetClient targets() {
        return new HttpTargetClient(client);
    }

    @Provides
    Decider decider() {
        return Decider.of(Policy.STANDARD);
    }

    @Provides
    @Singleton
    MetricRegistry metrics() {
        return new MetricRegistry();
    }
}
