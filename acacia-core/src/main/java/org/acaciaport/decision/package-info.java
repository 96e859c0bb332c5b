/**
 * Placement, reclaim and recovery decisions for one data centre, as a pure function without I/O.
 *
 * <p>Start with {@link org.acaciaport.decision.Decider}: it takes a {@link org.acaciaport.decision.CellState}, an
 * {@link org.acaciaport.decision.Event} and the time, and returns the next state and the
 * {@link org.acaciaport.decision.Command}s to carry out. {@link org.acaciaport.decision.Invariants} checks every step.
 *
 * <p>Terms used throughout:
 *
 * <ul>
 *   <li>A <i>cell</i> is one data centre with the scheduler that leads it.
 *   <li>A <i>unit</i> is one accelerator; this package uses both words for the same amounts. Units are <i>idle</i> if
 *       no work occupies them, and <i>free</i> if they are not claimed either.
 *   <li>A <i>job</i> is an unfinished request together with its progress.
 *   <li>An <i>attempt</i> to run a request has one or more <i>members</i>, each on a target of its own; work with
 *       several members is a <i>gang</i>. A member's <i>place</i> is its target and its units there; the target
 *       runs the member as a <i>task</i>.
 *   <li>An account <i>owns</i> units that its guarantee assigns to it on some targets, and <i>borrows</i> whatever it
 *       occupies beyond that.
 *   <li><i>Revocable</i> work can be made to free its units within a bounded time: by a checkpoint, a throttle or a
 *       stop, which are its <i>treatments</i>. All other work is <i>irrevocable</i> and runs to its end or its run
 *       limit.
 *   <li>To <i>revoke</i> running work is to apply treatments to it, for whichever reason. To <i>preempt</i> work is to
 *       make it free its units for a claim: running work is revoked, and an attempt of which no start was sent is
 *       withdrawn. An account <i>reclaims</i> its units by preempting the work that borrows them.
 *   <li>A <i>claim</i> reserves places that are still occupied for a job that waits until they are free. A claim on
 *       units that the account owns preempts the work that borrows them.
 *   <li>A <i>large job</i> is a gang, or needs more units than are free on any one target. A <i>drain</i> claims places
 *       for the large job that has waited longest and sets them <i>aside</i>: work on them is preempted or runs to its
 *       end, and other work is placed on them only as <i>backfill</i>, which is expected to end by the deadline of the
 *       drain.
 *   <li>A request is <i>answered</i> once, with its final {@link org.acaciaport.request.Outcome}.
 *   <li>A <i>permit</i> is a lease on the permission to start work: evidence, valid for a short time, that the data
 *       centre is in service.
 *   <li>A target is on <i>probation</i> after several requests failed there without a success in between. It takes no
 *       work until the next probe is due: a single task that shows whether the target works again.
 * </ul>
 *
 * <p>Points in time are milliseconds of the caller's clock, the same that is passed to the decider.
 */
package org.acaciaport.decision;
