/**
 * Admission control: decides from what the leader has published whether a request can still be of use.
 *
 * <p>Pure: does no I/O and reads no clock, so the same arguments lead to the same decision. Start with
 * {@link org.acaciaport.admission.AdmissionPolicy}; {@link org.acaciaport.admission.Outlook} is what it decides from,
 * and {@link org.acaciaport.admission.RetryTimes} says when a refused caller should return.
 */
package org.acaciaport.admission;
