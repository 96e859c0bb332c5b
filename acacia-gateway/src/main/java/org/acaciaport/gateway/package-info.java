/**
 * The gateway program: the HTTP entry point for callers, and for operators, on each entry VM.
 *
 * <p>{@link org.acaciaport.gateway.CallerService} and {@link org.acaciaport.gateway.ViewService} answer the HTTP
 * requests of callers and operators. {@link org.acaciaport.gateway.Router} chooses the scheduler for each query, and
 * {@link org.acaciaport.gateway.SchedulerClients} holds the connections to the schedulers and the newest view of each.
 *
 * <p>A <i>view</i> is what a scheduler reports about itself: whether it leads its data centre, how many requests wait
 * there, and the configuration that it has replayed.
 */
package org.acaciaport.gateway;
