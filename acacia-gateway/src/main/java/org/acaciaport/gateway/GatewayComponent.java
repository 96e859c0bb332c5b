package org.acaciaport.gateway;

import dagger.Component;
import jakarta.inject.Singleton;

/** Builds a {@link Gateway}. */
@Singleton
@Component(modules = GatewayModule.class)
interface GatewayComponent {
    /** Returns the gateway. */
    Gateway gateway();
}
