/**
 * Placement, reclaim and recovery decisions for one data centre, as a pure function without I/O.
 *
 * <p>Start with {@link org.acaciaport.decision.Decider}: it takes a {@link org.acaciaport.decision.CellState}, an
 * {@link org.acaciaport.decision.Event} and the time, and returns the next state and the
 * {@link org.acaciaport.decision.Command}s to carry out. {@link org.acaciaport.decision.Invariants} checks every step.
 */
package org.acaciaport.decision;
