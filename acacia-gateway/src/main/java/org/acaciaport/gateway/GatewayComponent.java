package org.acaciaport.gateway;

import dagger.Component;
import jakarta.inject.Singleton;

/** The Dagger component that builds a {@link Gateway}. */
@Singleton
@Component(modules = GatewayModule.class)
interface GatewayComponent {
    Gateway gateway();
}
