package org.acaciaport.gateway;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;

/** The Dagger module that provides the gateway's settings and a metric registry. */
@Module
final class GatewayModule {
    private final GatewaySettings settings;

    GatewayModule(GatewaySettings settings) {
        this.settings = settings;
    }

    @Provides
    GatewaySettings settings() {
        return settings;
    }

    @Provides
    @Singleton
    MetricRegistry metrics() {
        return new MetricRegistry();
    }
}
